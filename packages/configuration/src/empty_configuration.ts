import type {ConfigurationState} from '@cardamomfield/types';
import {dictionary} from './dictionary.js';

/** A configuration without any item. */
export function emptyConfiguration(): ConfigurationState {
  return {
    racks: dictionary(),
    workers: dictionary(),
    services: dictionary(),
    teams: dictionary(),
    rules: dictionary(),
  };
}
