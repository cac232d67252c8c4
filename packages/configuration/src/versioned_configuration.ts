import {ConfigurationState} from '@cardamomfield/types';
import {z} from 'zod';
import {NO_VERSION} from './no_version.js';

/** A configuration with the offset of the last record accepted into it. */
export const VersionedConfiguration = z.strictObject({
  version: z.int().min(NO_VERSION),
  state: ConfigurationState,
});
export type VersionedConfiguration = z.infer<typeof VersionedConfiguration>;
