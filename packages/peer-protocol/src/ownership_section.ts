import {z} from 'zod';
import type {HeartbeatSection} from './heartbeat_section.js';

const Value = z.strictObject({
  incarnation: z.string(),
  /** First ownership offset that is not yet applied. */
  nextOffset: z.int().nonnegative(),
  /** Whether the process may be chosen as an owner. */
  isEligible: z.boolean(),
  /** Hosts that the process hears. */
  hears: z.array(z.string()),
});

/** Part of the heartbeat that ownership reads. */
export const OwnershipSection: HeartbeatSection<z.infer<typeof Value>> = {
  name: 'ownership',
  schema: Value,
};
