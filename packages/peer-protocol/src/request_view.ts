import {FinalAnswer, RequestKey} from '@cardamomfield/types';
import {z} from 'zod';

/** The present state of a request, as callers see it. */
export const RequestView = z.strictObject({
  key: RequestKey,
  phase: z.enum(['waiting', 'running', 'finished']),
  coordinator: z.string(),
  /** Grows with every change. */
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
