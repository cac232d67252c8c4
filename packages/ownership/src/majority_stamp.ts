import type {VotersView} from '@cardamomfield/peer-protocol';

function stampOfSet(
  members: readonly string[],
  stampOf: (voter: string) => number,
): number {
  const majority = Math.floor(members.length / 2) + 1;
  const stamps = members.map(stampOf).sort((a, b) => b - a);
  return stamps[majority - 1] ?? -Infinity;
}

/**
 * The latest instant that a majority of the voters has reached; of both sets
 * while a proposal is pending. Voters without an instant count as -Infinity.
 */
export function majorityStamp(
  voters: VotersView,
  stampOf: (voter: string) => number,
): number {
  const confirmed = stampOfSet(voters.members, stampOf);
  if (!voters.pending) return confirmed;
  return Math.min(confirmed, stampOfSet(voters.pending, stampOf));
}
