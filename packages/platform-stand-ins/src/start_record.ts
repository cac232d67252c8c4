import {TaskPhase} from '@cardamomfield/platform';
import {ResourceVector, TaskIdentity} from '@cardamomfield/types';
import {z} from 'zod';

/** One start that took effect, for oracles. Instants are wall-clock. */
export const StartRecord = z.object({
  worker: z.string(),
  /** Numbers the starts of one ledger, from 0. */
  number: z.int().nonnegative(),
  task: TaskIdentity,
  epoch: z.int().nonnegative(),
  demand: ResourceVector,
  startedAt: z.int(),
  endedAt: z.int().optional(),
  phase: TaskPhase,
});
export type StartRecord = z.infer<typeof StartRecord>;
