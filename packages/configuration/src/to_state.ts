import type {ConfigurationState} from '@cardamomfield/types';
import type {ConfigurationItems} from './configuration_items.js';

/** Converts tables to plain objects; unchanged tables share their objects. */
export function toState(items: ConfigurationItems): ConfigurationState {
  return {
    racks: items.racks.toRecord(),
    workers: items.workers.toRecord(),
    services: items.services.toRecord(),
    teams: items.teams.toRecord(),
    rules: items.rules.toRecord(),
  };
}
