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
  // Guards against half of an even set that counts as a majority.
  it('needs more than half', () => {
    expect(majorityInstant(voters(['a', 'b', 'c', 'd']), instantOf)).toBe(30);
    expect(majorityInstant(voters(['a', 'b', 'c', 'd', 'e']), instantOf)).toBe(
      30,
    );
    expect(majorityInstant(voters(['a', 'x']), instantOf)).toBe(-Infinity);
  });

  // Guards against a count by one set alone while the voters change.
  it('needs a majority of both sets while a proposal is pending', () => {
    const change = voters(['a', 'b', 'c'], ['a', 'b', 'c', 'x']);
    expect(majorityInstant(change, instantOf)).toBe(30);
    const grown = voters(['a', 'b'], ['a', 'b', 'x']);
    expect(majorityInstant(grown, instantOf)).toBe(40);
    const shrunk = voters(['a', 'b', 'c', 'x'], ['a', 'b', 'c']);
    expect(majorityInstant(shrunk, instantOf)).toBe(30);
  });

  it('is never reached without voters', () => {
    expect(majorityInstant(voters([]), instantOf)).toBe(-Infinity);
  });
});
