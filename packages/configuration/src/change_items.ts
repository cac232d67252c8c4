import type {ConfigurationDelta} from './configuration_delta.js';
import type {ConfigurationItems} from './configuration_items.js';
import {endpointOf} from './endpoint_of.js';
import {ITEM_KINDS} from './item_kinds.js';
import type {ItemTable} from './item_table.js';

type Item = {name: string};

/** Returns the items after the delta; unchanged tables are shared. */
export function changeItems(
  items: ConfigurationItems,
  delta: ConfigurationDelta,
): ConfigurationItems {
  const result: Record<string, unknown> = {...items};
  for (const kind of ITEM_KINDS) {
    const put: Item[] = delta.put[kind];
    const table = items[kind] as unknown as ItemTable<Item>;
    const puts = put.map(item => [item.name, item] as const);
    result[kind] = table.with(puts, delta.remove[kind]);
  }
  result['endpoints'] = changeEndpoints(items, delta);
  return result as unknown as ConfigurationItems;
}

/** Of two workers with the same address, the first keeps its entry. */
function changeEndpoints(
  {workers, endpoints}: ConfigurationItems,
  {put, remove}: ConfigurationDelta,
): ItemTable<string> {
  const names = [...put.workers.map(({name}) => name), ...remove.workers];
  const oldEndpoints = names.flatMap(name => {
    const worker = workers.get(name);
    return worker ? [endpointOf(worker.address)] : [];
  });
  const remaining = endpoints.with([], oldEndpoints);
  const added = new Map<string, string>();
  for (const {name, address} of put.workers) {
    const endpoint = endpointOf(address);
    if (remaining.has(endpoint) || added.has(endpoint)) continue;
    added.set(endpoint, name);
  }
  return remaining.with([...added], []);
}
