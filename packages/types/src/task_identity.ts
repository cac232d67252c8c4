import {z} from 'zod';
import {RequestKey} from './request_key.js';

/** Identifies one attempt to run one task of a request. */
export const TaskIdentity = z.strictObject({
  key: RequestKey,
  /** Position of the task in the request, from 0. */
  index: z.int().nonnegative(),
  /** Number of this placement of the task, from 1. */
  attempt: z.int().positive(),
});
export type TaskIdentity = z.infer<typeof TaskIdentity>;
