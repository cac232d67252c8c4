import {z} from 'zod';
import {RequestKey} from './request_key.js';

/** Names one start of one task of a request. */
export const TaskIdentity = z.strictObject({
  key: RequestKey,
  /** Which task of the request, from 0. */
  index: z.int().nonnegative(),
  /** Counts placements of this task, from 1. */
  attempt: z.int().positive(),
});
export type TaskIdentity = z.infer<typeof TaskIdentity>;
