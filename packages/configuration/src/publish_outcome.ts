import {z} from 'zod';
import {NO_VERSION} from './no_version.js';
import {Refusal} from './refusal.js';

/** Result of a publication as its publisher gets it. */
export const PublishOutcome = z.discriminatedUnion('outcome', [
  z.strictObject({
    outcome: z.literal('accepted'),
    version: z.int().min(NO_VERSION),
  }),
  z.strictObject({outcome: z.literal('refused'), reason: Refusal}),
  z.strictObject({
    outcome: z.literal('unknown'),
    message: z.string(),
    /** How the publisher can find out the outcome. */
    findOut: z.string(),
  }),
]);
export type PublishOutcome = z.infer<typeof PublishOutcome>;
