import type {VotersView} from '@cardamomfield/peer-protocol';

function majorityInstantOfSet(
  members: readonly string[],
  instantOf: (voter: string) => number,
): number {
  const majority = Math.floor(members.length / 2) + 1;
  const instants = members.map(instantOf).sort((a, b) => b - a);
  return instants[majority - 1] ?? -Infinity;
}

/**
 * The latest instant that a majority of the voters has reached. While a
 * proposal is pending, a majority of both sets is required. `instantOf` must
 * return -Infinity for voters without an instant.
 */
export function majorityInstant(
  voters: VotersView,
  instantOf: (voter: string) => number,
): number {
  const confirmed = majorityInstantOfSet(voters.members, instantOf);
  if (!voters.pending) return confirmed;
  return Math.min(confirmed, majorityInstantOfSet(voters.pending, instantOf));
}
