import {isDeepStrictEqual} from 'node:util';
import type {ConfigurationState} from '@cardamomfield/types';
import type {ConfigurationChange} from './configuration_change.js';
import type {ConfigurationDelta} from './configuration_delta.js';
import {ITEM_KINDS} from './item_kinds.js';

type Items = Readonly<Record<string, {name: string}>>;

/** The change as puts and removes against the configuration in force. */
export function toDelta(
  change: ConfigurationChange,
  inForce: ConfigurationState,
): ConfigurationDelta {
  if (change.kind === 'delta') return change;
  const put: Record<string, unknown> = {};
  const remove: Record<string, unknown> = {};
  for (const kind of ITEM_KINDS) {
    put[kind] = changedItems(change.state[kind], inForce[kind]);
    remove[kind] = missingNames(change.state[kind], inForce[kind]);
  }
  return {kind: 'delta', put, remove} as ConfigurationDelta;
}

function changedItems(wanted: Items, inForce: Items): unknown[] {
  return Object.values(wanted).filter(
    item => !isDeepStrictEqual(item, inForce[item.name]),
  );
}

function missingNames(wanted: Items, inForce: Items): string[] {
  return Object.keys(inForce).filter(name => !Object.hasOwn(wanted, name));
}
