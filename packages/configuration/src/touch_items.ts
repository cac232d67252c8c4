import type {ConfigurationDelta} from './configuration_delta.js';
import type {ConfigurationHistory} from './configuration_history.js';
import {dictionary} from './dictionary.js';
import {ITEM_KINDS} from './item_kinds.js';
import type {ItemVersion} from './item_version.js';

/**
 * Removed items of one kind whose last record is remembered. Above this the
 * older half is forgotten and editors must start from a later base: at 480
 * replaced hosts a day this is more than a week.
 */
const MAXIMUM_REMOVED_ITEMS = 4_096;

type ItemVersions = Record<string, ItemVersion>;

/** Notes the record as the last one of every item that its delta names. */
export function touchItems(
  history: ConfigurationHistory,
  delta: ConfigurationDelta,
  by: {offset: number; editor: string},
): ConfigurationHistory {
  const itemVersions = {...history.itemVersions};
  const floors = {...history.floors};
  for (const kind of ITEM_KINDS) {
    const put = delta.put[kind];
    const remove = delta.remove[kind];
    if (put.length + remove.length === 0) continue;
    const versions = dictionary(itemVersions[kind]);
    for (const {name} of put) versions[name] = {...by, isRemoved: false};
    for (const name of remove) versions[name] = {...by, isRemoved: true};
    if (remove.length > 0) {
      floors[kind] = Math.max(floors[kind], forgetRemovals(versions));
    }
    itemVersions[kind] = versions;
  }
  return {...history, itemVersions, floors};
}

/** Drops the older removals; returns the latest version that was dropped. */
function forgetRemovals(versions: ItemVersions): number {
  const removed = Object.entries(versions).filter(([, v]) => v.isRemoved);
  if (removed.length <= MAXIMUM_REMOVED_ITEMS) return -Infinity;
  removed.sort(([, first], [, second]) => first.offset - second.offset);
  const last = removed[Math.floor(removed.length / 2)]![1].offset;
  for (const [name, {offset}] of removed) {
    if (offset <= last) delete versions[name];
  }
  return last;
}
