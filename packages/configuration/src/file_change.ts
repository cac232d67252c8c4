import type {ConfigurationState} from '@cardamomfield/types';
import type {ConfigurationDelta} from './configuration_delta.js';
import {dictionary} from './dictionary.js';
import {ITEM_KINDS} from './item_kinds.js';
import {toDelta} from './to_delta.js';
import {toItems} from './to_items.js';

type Lists = {
  [Kind in keyof ConfigurationState]?: Array<ConfigurationState[Kind][string]>;
};

/** The change towards the given lists; kinds without a list stay as they are. */
export function fileChange(
  lists: Lists,
  inForce: ConfigurationState,
  {keepOthers}: {keepOthers: boolean},
): ConfigurationDelta {
  const wanted: Record<string, unknown> = {...inForce};
  for (const kind of ITEM_KINDS) {
    const list = lists[kind] as Array<{name: string}> | undefined;
    if (!list) continue;
    const listed = Object.fromEntries(list.map(item => [item.name, item]));
    const others: Record<string, {name: string}> = inForce[kind];
    wanted[kind] = keepOthers ? dictionary(others, listed) : listed;
  }
  const state = wanted as ConfigurationState;
  return toDelta({kind: 'snapshot', state}, toItems(inForce));
}
