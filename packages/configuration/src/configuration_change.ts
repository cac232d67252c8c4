import {ConfigurationState} from '@cardamomfield/types';
import {z} from 'zod';
import {ConfigurationDelta} from './configuration_delta.js';

/**
 * A change that an operator asks for. A snapshot gives the whole
 * configuration and touches the items that differ from the one in force.
 */
export const ConfigurationChange = z.discriminatedUnion('kind', [
  ConfigurationDelta,
  z.strictObject({kind: z.literal('snapshot'), state: ConfigurationState}),
]);
export type ConfigurationChange = z.infer<typeof ConfigurationChange>;
