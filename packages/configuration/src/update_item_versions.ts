import type {ConfigurationDelta} from './configuration_delta.js';
import type {ConfigurationHistory} from './configuration_history.js';
import type {ConfigurationItems} from './configuration_items.js';
import {ITEM_KINDS} from './item_kinds.js';
import type {ItemTable} from './item_table.js';
import type {ItemVersion} from './item_version.js';

/**
 * Maximum number of removed items of one kind whose last record is kept. Above
 * it, the older half is pruned and editors must start from a later base. With
 * 480 replaced hosts a day, the limit is reached after more than a week.
 */
const MAXIMUM_REMOVED_ITEMS = 4_096;

/** Sets the record as the last version of every item in its delta. */
export function updateItemVersions(
  history: ConfigurationHistory,
  delta: ConfigurationDelta,
  items: ConfigurationItems,
  record: {offset: number; editor: string},
): Pick<ConfigurationHistory, 'itemVersions' | 'floors'> {
  const itemVersions = {...history.itemVersions};
  const floors = {...history.floors};
  for (const kind of ITEM_KINDS) {
    const touched = itemVersions[kind].with(
      [
        ...delta.put[kind].map(({name}) =>
          itemVersionEntry(name, record, false),
        ),
        ...delta.remove[kind].map(name => itemVersionEntry(name, record, true)),
      ],
      [],
    );
    itemVersions[kind] = touched;
    // Every item in force has a version; all others belong to removed items.
    if (touched.size - items[kind].size <= MAXIMUM_REMOVED_ITEMS) continue;
    const {kept, lastPruned} = pruneRemovals(touched);
    itemVersions[kind] = kept;
    floors[kind] = lastPruned;
  }
  return {itemVersions, floors};
}

function itemVersionEntry(
  name: string,
  record: {offset: number; editor: string},
  isRemoved: boolean,
): readonly [string, ItemVersion] {
  return [name, {...record, isRemoved}];
}

/** Drops the older half of the removals and returns the last one dropped. */
function pruneRemovals(versions: ItemTable<ItemVersion>): {
  kept: ItemTable<ItemVersion>;
  lastPruned: number;
} {
  const removed = [...versions.entries()]
    .filter(([, version]) => version.isRemoved)
    .sort(([, first], [, second]) => first.offset - second.offset);
  const lastPruned = removed[Math.floor(removed.length / 2)]![1].offset;
  const names = removed
    .filter(([, version]) => version.offset <= lastPruned)
    .map(([name]) => name);
  return {kept: versions.with([], names), lastPruned};
}
