import {RESOURCE_NAMES} from '@cardamomfield/types';
import type {GangJob} from './gang_job.js';
import type {GroupOffer} from './group_offer.js';

/**
 * Divides a gang over as few groups as the offers allow, in the order of
 * group names. `mostPlaces` limits groups that were found fuller than their
 * offer says.
 */
export function planGang(
  gang: GangJob,
  offers: readonly GroupOffer[],
  mostPlaces: ReadonlyMap<string, number>,
): Array<{group: string; count: number}> | undefined {
  const places = offers
    .map(offer => ({
      group: offer.name,
      count: Math.min(
        placesIn(gang, offer),
        mostPlaces.get(offer.name) ?? Infinity,
      ),
    }))
    .filter(({count}) => count > 0)
    .sort((a, b) => b.count - a.count || (a.group < b.group ? -1 : 1));
  const plan: Array<{group: string; count: number}> = [];
  let missing = gang.taskCount;
  for (const {group, count} of places) {
    if (missing === 0) break;
    const taken = Math.min(count, missing);
    plan.push({group, count: taken});
    missing -= taken;
  }
  if (missing > 0) return undefined;
  return plan.sort((a, b) => (a.group < b.group ? -1 : 1));
}

/** An upper bound: the free amounts may be divided over several workers. */
function placesIn(gang: GangJob, offer: GroupOffer): number {
  let places = gang.taskCount;
  for (const name of RESOURCE_NAMES) {
    const demand = gang.demand[name];
    if (demand > offer.largestFree[name]) return 0;
    if (demand > 0) {
      places = Math.min(places, Math.floor(offer.free[name] / demand));
    }
  }
  return places;
}
