import {RESOURCE_NAMES} from '@cardamomfield/types';
import type {GangJob} from './gang_job.js';
import type {GroupOffer} from './group_offer.js';

/**
 * Divides a gang over as few groups as the offers allow. The plan is in the
 * order of group names. `maximumPlaces` limits groups that refused a hold
 * because they had less free capacity than their offer said.
 */
export function planGang(
  gang: GangJob,
  offers: readonly GroupOffer[],
  maximumPlaces: ReadonlyMap<string, number>,
): Array<{group: string; count: number}> | undefined {
  const places = offers
    .map(offer => ({
      group: offer.name,
      count: Math.min(
        countPlaces(gang, offer),
        maximumPlaces.get(offer.name) ?? Infinity,
      ),
    }))
    .filter(({count}) => count > 0)
    .sort((a, b) => b.count - a.count || (a.group < b.group ? -1 : 1));
  const plan: Array<{group: string; count: number}> = [];
  let remaining = gang.taskCount;
  for (const {group, count} of places) {
    if (remaining === 0) break;
    const assigned = Math.min(count, remaining);
    plan.push({group, count: assigned});
    remaining -= assigned;
  }
  if (remaining > 0) return undefined;
  return plan.sort((a, b) => (a.group < b.group ? -1 : 1));
}

/**
 * Upper bound of the number of tasks that fit on a group. The real number may
 * be lower because the free amounts may be spread over several workers.
 */
function countPlaces(gang: GangJob, offer: GroupOffer): number {
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
