import {ConfigurationState} from '@cardamomfield/types';
import {z} from 'zod';
import {ConfigurationDelta} from './configuration_delta.js';

/**
 * A change that an operator requests. A snapshot contains the whole
 * configuration and changes only the items that differ from those in force.
 */
export const ConfigurationChange = z.discriminatedUnion('kind', [
  ConfigurationDelta,
  z.strictObject({kind: z.literal('snapshot'), state: ConfigurationState}),
]);
export type ConfigurationChange = z.infer<typeof ConfigurationChange>;
