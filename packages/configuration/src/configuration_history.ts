import {ConfigurationState} from '@cardamomfield/types';
import {z} from 'zod';
import {ItemVersion} from './item_version.js';
import {NO_VERSION} from './no_version.js';
import {Verdict} from './verdict.js';

const itemVersions = z.record(z.string(), ItemVersion);
const floor = z.int().min(NO_VERSION);

/** State of the fold: the configuration and what later verdicts need. */
export const ConfigurationHistory = z.strictObject({
  /** Offset of the last accepted record. */
  version: z.int().min(NO_VERSION),
  state: ConfigurationState,
  /** Last record of every item, removed ones included. */
  itemVersions: z.strictObject({
    racks: itemVersions,
    workers: itemVersions,
    services: itemVersions,
    teams: itemVersions,
    rules: itemVersions,
  }),
  /** Removals up to these versions are forgotten. */
  floors: z.strictObject({
    racks: floor,
    workers: floor,
    services: floor,
    teams: floor,
    rules: floor,
  }),
  /** The latest verdicts, oldest first. */
  verdicts: z.array(Verdict),
});
export type ConfigurationHistory = z.infer<typeof ConfigurationHistory>;
