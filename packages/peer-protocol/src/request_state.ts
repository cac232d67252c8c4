import {Submission, TaskConclusion} from '@cardamomfield/types';
import {z} from 'zod';
import {TaskUpdate} from './task_update.js';

/** State of a request with which another coordinator can continue it. */
export const RequestState = z.strictObject({
  submission: Submission,
  bodyHash: z.string(),
  isCancelled: z.boolean(),
  tasks: z.array(
    z.strictObject({
      index: z.int().nonnegative(),
      attempt: z.int().nonnegative(),
      owner: z
        .strictObject({name: z.string(), incarnation: z.string()})
        .optional(),
      update: TaskUpdate.optional(),
      isDispatchPermitted: z.boolean(),
      checkpoint: z.json().optional(),
      earlier: TaskConclusion.optional(),
      conclusion: TaskConclusion.optional(),
      /** Wall-clock instant after which an unanswered order has no effect. */
      orderNotAfter: z.int().nonnegative(),
    }),
  ),
});
export type RequestState = z.infer<typeof RequestState>;
