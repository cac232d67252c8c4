import {Name, WorkKind} from '@cardamomfield/types';
import {z} from 'zod';

/** Amounts in the order of `RESOURCE_NAMES`. */
const amounts = z.array(z.number()).length(5);

/** What one owner has to offer for one service in one region. */
const Offer = z.strictObject({
  region: Name,
  service: Name,
  /** Free in total. */
  free: amounts,
  /** Free on the one worker that has most, each dimension by itself. */
  largest: amounts,
  workers: z.int().nonnegative(),
  queued: z.int().nonnegative(),
});

/** What an owner has to offer and how long work waits there. */
export const OwnerSummary = z.strictObject({
  incarnation: z.string(),
  /** Refuses new work; set during shutdown. */
  isLeaving: z.boolean(),
  offers: z.array(Offer),
  /** Expected wait in milliseconds by kind of work. */
  expectedWait: z.partialRecord(WorkKind, z.number()),
});
export type OwnerSummary = z.infer<typeof OwnerSummary>;
