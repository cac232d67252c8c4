import {z} from 'zod';

/** What decided an answer about a submission, for logs. */
export const Decision = z.object({
  /** The host that decided as the owner of the shard. */
  hostName: z.string(),
  /** The epoch of its ownership. */
  epoch: z.number().int(),
  /**
   * `record`: records in the log that were durable before the answer. `proof`:
   * the state of the owner, and a proof of its epoch that was begun after the
   * request arrived.
   */
  basis: z.enum(['proof', 'record']),
  /** Milliseconds between the last proof of the epoch and the decision. */
  proofAgeMilliseconds: z.number(),
});
export type Decision = z.infer<typeof Decision>;
