import {Name} from '@cardamomfield/types';
import {z} from 'zod';
import {ConfigurationChange} from './configuration_change.js';
import {NO_VERSION} from './no_version.js';

/** Body of a record on stream `configuration`, and of a publishing request. */
export const ConfigurationRecord = z.strictObject({
  /** Version that the editor started from. */
  base: z.int().min(NO_VERSION),
  editor: Name,
  /** Chosen by the publisher to find the verdict after a lost answer. */
  publication: Name.optional(),
  change: ConfigurationChange,
});
export type ConfigurationRecord = z.infer<typeof ConfigurationRecord>;
