import type {ConfigurationState} from '@cardamomfield/types';
import type {ConfigurationItems} from './configuration_items.js';

/** The configuration as plain objects; kinds that did not change are shared. */
export function toState(items: ConfigurationItems): ConfigurationState {
  return {
    racks: items.racks.toRecord(),
    workers: items.workers.toRecord(),
    services: items.services.toRecord(),
    teams: items.teams.toRecord(),
    rules: items.rules.toRecord(),
  };
}
