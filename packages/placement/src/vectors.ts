import {RESOURCE_NAMES, type ResourceVector} from '@cardamomfield/types';
import type {Vector} from './vector.js';

/**
 * Arithmetic on resource amounts. This package uses arrays instead of named
 * fields because every decision loops over all dimensions.
 */
export class Vectors {
  static zero(): Vector {
    return [0, 0, 0, 0, 0];
  }

  static of(resources: ResourceVector): Vector {
    return RESOURCE_NAMES.map(name => resources[name]);
  }

  static toResources(vector: Vector): ResourceVector {
    return {
      processorMillicores: vector[0]!,
      memoryBytes: vector[1]!,
      accelerators: vector[2]!,
      slots: vector[3]!,
      connections: vector[4]!,
    };
  }

  /** Whether the demand is within the available amount in every dimension. */
  static fits(demand: Vector, available: Vector): boolean {
    return (
      demand[0]! <= available[0]! &&
      demand[1]! <= available[1]! &&
      demand[2]! <= available[2]! &&
      demand[3]! <= available[3]! &&
      demand[4]! <= available[4]!
    );
  }

  static add(target: Vector, amounts: Vector): void {
    for (let d = 0; d < target.length; d++) target[d]! += amounts[d]!;
  }

  static subtract(target: Vector, amounts: Vector): void {
    for (let d = 0; d < target.length; d++) target[d]! -= amounts[d]!;
  }

  static maximum(a: Vector, b: Vector): Vector {
    return a.map((amount, d) => Math.max(amount, b[d]!));
  }

  static equal(a: Vector, b: Vector): boolean {
    return a.every((amount, d) => amount === b[d]);
  }

  /** The dimension in which the demand is the largest share of the total. */
  static dominantDimension(demand: Vector, total: Vector): number {
    let dominant = 0;
    let largest = -1;
    for (let d = 0; d < demand.length; d++) {
      const share = Vectors.share(demand[d]!, total[d]!);
      if (share <= largest) continue;
      dominant = d;
      largest = share;
    }
    return dominant;
  }

  /** The largest share of the total over all dimensions. */
  static dominantShare(amounts: Vector, total: Vector): number {
    let largest = 0;
    for (let d = 0; d < amounts.length; d++) {
      largest = Math.max(largest, Vectors.share(amounts[d]!, total[d]!));
    }
    return largest;
  }

  private static share(amount: number, total: number): number {
    if (amount <= 0) return 0;
    return total > 0 ? amount / total : Infinity;
  }
}
