import type {ConfigurationState} from '@cardamomfield/types';
import type {ConfigurationDelta} from './configuration_delta.js';
import {dictionary} from './dictionary.js';
import {ITEM_KINDS} from './item_kinds.js';
import {toDelta} from './to_delta.js';
import {toItems} from './to_items.js';

type ItemLists = {
  [Kind in keyof ConfigurationState]?: Array<ConfigurationState[Kind][string]>;
};

/**
 * Returns the change from the configuration in force to the given lists.
 * Kinds without a list stay as they are.
 */
export function fileChange(
  lists: ItemLists,
  inForce: ConfigurationState,
  {keepOthers}: {keepOthers: boolean},
): ConfigurationDelta {
  const desired: Record<string, unknown> = {...inForce};
  for (const kind of ITEM_KINDS) {
    const list = lists[kind] as Array<{name: string}> | undefined;
    if (!list) continue;
    const listed = Object.fromEntries(list.map(item => [item.name, item]));
    const others: Record<string, {name: string}> = inForce[kind];
    desired[kind] = keepOthers ? dictionary(others, listed) : listed;
  }
  const state = desired as ConfigurationState;
  return toDelta({kind: 'snapshot', state}, toItems(inForce));
}
