import {FinalAnswer, RequestKey} from '@cardamomfield/types';
import {z} from 'zod';

/** Current state of a request, as shown to callers. */
export const RequestView = z.strictObject({
  key: RequestKey,
  phase: z.enum(['waiting', 'running', 'finished']),
  coordinator: z.string(),
  /** Increases with every change. */
  revision: z.int().nonnegative(),
  tasks: z.array(
    z.strictObject({
      index: z.int().nonnegative(),
      attempt: z.int().nonnegative(),
      stage: z.string(),
      worker: z.string().optional(),
    }),
  ),
  /** Present once the request has finished. */
  answer: FinalAnswer.optional(),
});
export type RequestView = z.infer<typeof RequestView>;
