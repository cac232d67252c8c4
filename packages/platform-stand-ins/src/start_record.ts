import {TaskPhase} from '@cardamomfield/platform';
import {ResourceVector, TaskIdentity} from '@cardamomfield/types';
import {z} from 'zod';

/** A start that took effect, for test oracles. Times are wall-clock. */
export const StartRecord = z.object({
  worker: z.string(),
  /** Position in the ledger, counted from 0. */
  number: z.int().nonnegative(),
  task: TaskIdentity,
  epoch: z.int().nonnegative(),
  demand: ResourceVector,
  startedAt: z.int(),
  endedAt: z.int().optional(),
  phase: TaskPhase,
});
export type StartRecord = z.infer<typeof StartRecord>;
