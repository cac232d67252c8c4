import {uniformFloat64} from 'pure-rand/distribution/uniformFloat64';
import {uniformInt} from 'pure-rand/distribution/uniformInt';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';
import type {RandomSource} from './random_source.js';

type Generator = ReturnType<typeof xoroshiro128plus>;

/** Pseudo-random numbers that a seed makes reproducible. */
export class SeededRandomSource implements RandomSource {
  private constructor(private readonly generator: Generator) {}

  static create(seed: number): SeededRandomSource {
    return new SeededRandomSource(xoroshiro128plus(seed));
  }

  integerBelow(bound: number): number {
    return uniformInt(this.generator, 0, bound - 1);
  }

  fraction(): number {
    return uniformFloat64(this.generator);
  }
}
