import type {OwnerSummary} from '@cardamomfield/peer-protocol';
import type {OwnerScheduler} from '@cardamomfield/placement';
import {RESOURCE_NAMES, type ResourceVector} from '@cardamomfield/types';
import type {WorkerSessions} from './worker_sessions.js';

type Offer = OwnerSummary['offers'][number];

/**
 * Free capacity of this owner by region and service. The summary is coarse so
 * that a heartbeat stays small no matter how many groups an owner has.
 */
export function summariseOffers(
  sessions: WorkerSessions,
  scheduler: OwnerScheduler,
  isUsable: (worker: string) => boolean,
): Offer[] {
  const offers = new Map<string, Offer>();
  for (const {worker} of sessions.all()) {
    const region = sessions.rackOf(worker)?.region;
    const available = scheduler.availableOn(worker.name);
    if (!region || !available || !isUsable(worker.name)) continue;
    for (const service of worker.services) {
      const name = `${region}/${service}`;
      const offer = offers.get(name) ?? emptyOffer(region, service);
      offers.set(name, offer);
      addWorker(offer, available);
    }
  }
  return [...offers.values()];
}

function emptyOffer(region: string, service: string): Offer {
  const zeros = RESOURCE_NAMES.map(() => 0);
  return {
    region,
    service,
    free: [...zeros],
    largest: [...zeros],
    workers: 0,
    queued: 0,
  };
}

function addWorker(offer: Offer, available: ResourceVector): void {
  offer.workers += 1;
  RESOURCE_NAMES.forEach((name, position) => {
    const amount = Math.max(0, available[name]);
    offer.free[position] = (offer.free[position] ?? 0) + amount;
    offer.largest[position] = Math.max(offer.largest[position] ?? 0, amount);
  });
}
