import {z} from 'zod';

/** What decided an answer about a submission, for logs. */
export const Decision = z.object({
  /** The host that decided as the owner of the shard. */
  hostName: z.string(),
  /** The epoch of its ownership. */
  epoch: z.number().int(),
  /**
   * `memory`: the state of the owner. `record`: records in the log that were
   * durable before the answer.
   */
  basis: z.enum(['memory', 'record']),
  /** Milliseconds between the last proof of the epoch and the decision. */
  proofAgeMilliseconds: z.number(),
});
export type Decision = z.infer<typeof Decision>;
