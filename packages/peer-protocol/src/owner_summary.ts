import {Name, WorkKind} from '@cardamomfield/types';
import {z} from 'zod';

/** Amounts in the order of `RESOURCE_NAMES`. */
const amounts = z.array(z.number()).length(5);

/** Free capacity of one owner for one service in one region. */
const Offer = z.strictObject({
  region: Name,
  service: Name,
  /** Total over all workers. */
  free: amounts,
  /** Largest amount on a single worker, for each resource separately. */
  largest: amounts,
  workers: z.int().nonnegative(),
  queued: z.int().nonnegative(),
});

/** Free capacity of an owner and the expected wait for work. */
export const OwnerSummary = z.strictObject({
  incarnation: z.string(),
  /** Whether the owner refuses new work; set during shutdown. */
  isLeaving: z.boolean(),
  offers: z.array(Offer),
  /** Expected wait in milliseconds by kind of work. */
  expectedWait: z.partialRecord(WorkKind, z.number()),
});
export type OwnerSummary = z.infer<typeof OwnerSummary>;
