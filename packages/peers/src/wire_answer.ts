import {FailureDescription} from '@cardamomfield/types';
import {z} from 'zod';

/**
 * Answer to a call. `refused` means that the handler returned a failure or did
 * not run. `faulted` means that the handler threw, possibly after it had an
 * effect. The value is absent when the handler returned nothing.
 */
export const WireAnswer = z.discriminatedUnion('outcome', [
  z.strictObject({
    outcome: z.literal('done'),
    value: z.unknown().optional(),
  }),
  z.strictObject({
    outcome: z.enum(['refused', 'faulted']),
    failure: FailureDescription,
  }),
]);
export type WireAnswer = z.infer<typeof WireAnswer>;
