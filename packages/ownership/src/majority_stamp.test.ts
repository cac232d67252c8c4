import {describe, expect, it} from 'vitest';
import {majorityStamp} from './majority_stamp.js';

const STAMPS: Record<string, number> = {a: 50, b: 40, c: 30, d: 20, e: 10};

function stampOf(voter: string): number {
  return STAMPS[voter] ?? -Infinity;
}

function voters(members: string[], pending: string[] | null = null) {
  return {offset: 0, version: 0, members, pending};
}

describe('majorityStamp', () => {
  // Guards against half of an even set that counts as a majority.
  it('needs more than half', () => {
    expect(majorityStamp(voters(['a', 'b', 'c', 'd']), stampOf)).toBe(30);
    expect(majorityStamp(voters(['a', 'b', 'c', 'd', 'e']), stampOf)).toBe(30);
    expect(majorityStamp(voters(['a', 'x']), stampOf)).toBe(-Infinity);
  });

  // Guards against a count by one set alone while the voters change.
  it('needs a majority of both sets while a proposal is pending', () => {
    const change = voters(['a', 'b', 'c'], ['a', 'b', 'c', 'x']);
    expect(majorityStamp(change, stampOf)).toBe(30);
    const grown = voters(['a', 'b'], ['a', 'b', 'x']);
    expect(majorityStamp(grown, stampOf)).toBe(40);
    const shrunk = voters(['a', 'b', 'c', 'x'], ['a', 'b', 'c']);
    expect(majorityStamp(shrunk, stampOf)).toBe(30);
  });

  it('is never reached without voters', () => {
    expect(majorityStamp(voters([]), stampOf)).toBe(-Infinity);
  });
});
