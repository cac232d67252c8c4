import {z} from 'zod';
import type {HeartbeatSection} from './heartbeat_section.js';

const Value = z.strictObject({
  /** Null until the process has a configuration in force. */
  version: z.int().min(-1).nullable(),
});

/** Configuration version in force at the sender. */
export const configurationSection: HeartbeatSection<z.infer<typeof Value>> = {
  name: 'configuration',
  schema: Value,
};
