import type {ConfigurationDelta} from './configuration_delta.js';
import type {ConfigurationHistory} from './configuration_history.js';
import type {ConfigurationItems} from './configuration_items.js';
import {ITEM_KINDS} from './item_kinds.js';
import type {ItemTable} from './item_table.js';
import type {ItemVersion} from './item_version.js';

/**
 * Removed items of one kind whose last record is remembered. Above this the
 * older half is forgotten and editors must start from a later base: at 480
 * replaced hosts a day this is more than a week.
 */
const MAXIMUM_REMOVED_ITEMS = 4_096;

/** Notes the record as the last one of every item that its delta names. */
export function touchItems(
  history: ConfigurationHistory,
  delta: ConfigurationDelta,
  items: ConfigurationItems,
  by: {offset: number; editor: string},
): Pick<ConfigurationHistory, 'itemVersions' | 'floors'> {
  const itemVersions = {...history.itemVersions};
  const floors = {...history.floors};
  for (const kind of ITEM_KINDS) {
    const touched = itemVersions[kind].with(
      [
        ...delta.put[kind].map(({name}) => entry(name, by, false)),
        ...delta.remove[kind].map(name => entry(name, by, true)),
      ],
      [],
    );
    itemVersions[kind] = touched;
    // Every item in force has a version, so the others are removed ones.
    if (touched.size - items[kind].size <= MAXIMUM_REMOVED_ITEMS) continue;
    const {kept, last} = forgetRemovals(touched);
    itemVersions[kind] = kept;
    floors[kind] = last;
  }
  return {itemVersions, floors};
}

function entry(
  name: string,
  by: {offset: number; editor: string},
  isRemoved: boolean,
): readonly [string, ItemVersion] {
  return [name, {...by, isRemoved}];
}

/** Drops the older removals and tells the latest version that was dropped. */
function forgetRemovals(versions: ItemTable<ItemVersion>): {
  kept: ItemTable<ItemVersion>;
  last: number;
} {
  const removed = [...versions.entries()]
    .filter(([, version]) => version.isRemoved)
    .sort(([, first], [, second]) => first.offset - second.offset);
  const last = removed[Math.floor(removed.length / 2)]![1].offset;
  const names = removed
    .filter(([, version]) => version.offset <= last)
    .map(([name]) => name);
  return {kept: versions.with([], names), last};
}
