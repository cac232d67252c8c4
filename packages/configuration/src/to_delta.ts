import {isDeepStrictEqual} from 'node:util';
import type {ConfigurationChange} from './configuration_change.js';
import type {ConfigurationDelta} from './configuration_delta.js';
import type {ConfigurationItems} from './configuration_items.js';
import {ITEM_KINDS} from './item_kinds.js';
import type {ItemTable} from './item_table.js';

type Item = {name: string};
type Items = Readonly<Record<string, Item>>;

/** Converts a change to puts and removals on the configuration in force. */
export function toDelta(
  change: ConfigurationChange,
  inForce: ConfigurationItems,
): ConfigurationDelta {
  if (change.kind === 'delta') return change;
  const put: Record<string, unknown> = {};
  const remove: Record<string, unknown> = {};
  for (const kind of ITEM_KINDS) {
    const table = inForce[kind] as unknown as ItemTable<Item>;
    put[kind] = changedItems(change.state[kind], table);
    remove[kind] = missingNames(change.state[kind], table);
  }
  return {kind: 'delta', put, remove} as ConfigurationDelta;
}

function changedItems(desired: Items, inForce: ItemTable<Item>): Item[] {
  return Object.values(desired).filter(
    item => !isDeepStrictEqual(item, inForce.get(item.name)),
  );
}

function missingNames(desired: Items, inForce: ItemTable<Item>): string[] {
  const names = [...inForce.entries()].map(([name]) => name);
  return names.filter(name => !Object.hasOwn(desired, name)).sort();
}
