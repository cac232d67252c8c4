import {z} from 'zod';

/** One queue of the desired state: its routes and how its submissions run. */
export const Queue = z.object({
  name: z.string(),
  /** Value of the Host header that selects the queue. */
  host: z.string(),
  pathPrefix: z.string(),
  service: z.string(),
  /** Whether calls need no key. */
  isPublic: z.boolean().optional(),
  /** 0 is the highest priority. */
  priority: z.number(),
  maximumAttempts: z.number().int().min(1),
  stretchFactor: z.number(),
  targetLatencyMilliseconds: z.number(),
  timeoutMilliseconds: z.number(),
  /**
   * Present when only workers approved by the advice service may run a step.
   */
  advice: z
    .object({
      decisionMilliseconds: z.number(),
      perWorkerMilliseconds: z.number(),
      validMilliseconds: z.number(),
    })
    .optional(),
});
export type Queue = z.infer<typeof Queue>;
