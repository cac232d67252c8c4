import {Name} from '@cardamomfield/types';
import {z} from 'zod';
import {ConfigurationChange} from './configuration_change.js';
import {NO_VERSION} from './no_version.js';

/** Enough for a process name and a few numbers. */
const MAXIMUM_PUBLICATION_LENGTH = 200;

/** Body of a record on stream `configuration`, and of a publishing request. */
export const ConfigurationRecord = z.strictObject({
  /** Version that the editor started from. */
  base: z.int().min(NO_VERSION),
  editor: Name,
  /** Chosen by the publisher to find the verdict after a lost answer. */
  publication: z.string().min(1).max(MAXIMUM_PUBLICATION_LENGTH).optional(),
  change: ConfigurationChange,
});
export type ConfigurationRecord = z.infer<typeof ConfigurationRecord>;
