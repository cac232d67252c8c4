import type {ConfigurationState} from '@cardamomfield/types';
import type {ConfigurationItems} from './configuration_items.js';
import {endpointOf} from './endpoint_of.js';
import {ItemTable} from './item_table.js';

/** Converts a configuration to tables, which are cheap to change. */
export function toItems(state: ConfigurationState): ConfigurationItems {
  const endpoints = Object.values(state.workers).map(
    ({name, address}) => [endpointOf(address), name] as const,
  );
  return {
    racks: ItemTable.create(state.racks),
    workers: ItemTable.create(state.workers),
    services: ItemTable.create(state.services),
    teams: ItemTable.create(state.teams),
    rules: ItemTable.create(state.rules),
    endpoints: ItemTable.create<string>().with(endpoints, []),
  };
}
