import {ConfigurationState} from '@cardamomfield/types';
import {z} from 'zod';
import {ItemVersion} from './item_version.js';
import {NO_VERSION} from './no_version.js';
import {Verdict} from './verdict.js';

const itemVersions = z.record(z.string(), ItemVersion);
const floor = z.int().min(NO_VERSION);

/** State of the fold as JSON. */
export const ConfigurationSnapshot = z.strictObject({
  version: z.int().min(NO_VERSION),
  state: ConfigurationState,
  itemVersions: z.strictObject({
    racks: itemVersions,
    workers: itemVersions,
    services: itemVersions,
    teams: itemVersions,
    rules: itemVersions,
  }),
  floors: z.strictObject({
    racks: floor,
    workers: floor,
    services: floor,
    teams: floor,
    rules: floor,
  }),
  verdicts: z.array(Verdict),
});
export type ConfigurationSnapshot = z.infer<typeof ConfigurationSnapshot>;
