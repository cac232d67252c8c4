import {describe, expect, it} from 'vitest';
import {majorityInstant} from './majority_instant.js';

const INSTANTS: Record<string, number> = {a: 50, b: 40, c: 30, d: 20, e: 10};

function instantOf(voter: string): number {
  return INSTANTS[voter] ?? -Infinity;
}

function voters(members: string[], pending: string[] | null = null) {
  return {offset: 0, version: 0, members, pending};
}

describe('majorityInstant', () => {
  // Guards against counting half of an even set as a majority.
  it('requires more than half of the voters', () => {
    expect(majorityInstant(voters(['a', 'b', 'c', 'd']), instantOf)).toBe(30);
    expect(majorityInstant(voters(['a', 'b', 'c', 'd', 'e']), instantOf)).toBe(
      30,
    );
    expect(majorityInstant(voters(['a', 'x']), instantOf)).toBe(-Infinity);
  });

  // Guards against counting only one of the two sets during a change of the
  // voters.
  it('requires a majority of both sets while a proposal is pending', () => {
    const change = voters(['a', 'b', 'c'], ['a', 'b', 'c', 'x']);
    expect(majorityInstant(change, instantOf)).toBe(30);
    const grown = voters(['a', 'b'], ['a', 'b', 'x']);
    expect(majorityInstant(grown, instantOf)).toBe(40);
    const shrunk = voters(['a', 'b', 'c', 'x'], ['a', 'b', 'c']);
    expect(majorityInstant(shrunk, instantOf)).toBe(30);
  });

  it('returns -Infinity without voters', () => {
    expect(majorityInstant(voters([]), instantOf)).toBe(-Infinity);
  });
});
