import {z} from 'zod';
import type {HeartbeatSection} from './heartbeat_section.js';

const Value = z.strictObject({
  incarnation: z.string(),
  /** First ownership offset that is not yet applied. */
  nextOffset: z.int().nonnegative(),
  /** Whether the process may be chosen as an owner. */
  isEligible: z.boolean(),
  /** Hosts from which the process has recently received messages. */
  hears: z.array(z.string()),
});

/** Heartbeat section that the ownership package reads. */
export const OwnershipSection: HeartbeatSection<z.infer<typeof Value>> = {
  name: 'ownership',
  schema: Value,
};
