import type {ConfigurationState} from '@cardamomfield/types';
import type {ConfigurationDelta} from './configuration_delta.js';
import {dictionary} from './dictionary.js';
import {ITEM_KINDS} from './item_kinds.js';

type Items = Record<string, {name: string}>;

/** The configuration after the delta; kinds that it leaves alone are shared. */
export function applyDelta(
  state: ConfigurationState,
  delta: ConfigurationDelta,
): ConfigurationState {
  const result: Record<string, Items> = {...state};
  for (const kind of ITEM_KINDS) {
    const put = delta.put[kind];
    const remove = delta.remove[kind];
    if (put.length + remove.length === 0) continue;
    const items: Items = dictionary<{name: string}>(state[kind]);
    for (const item of put) items[item.name] = item;
    for (const name of remove) delete items[name];
    result[kind] = items;
  }
  return result as ConfigurationState;
}
