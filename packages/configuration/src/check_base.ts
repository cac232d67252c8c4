import type {ConfigurationDelta} from './configuration_delta.js';
import type {ConfigurationHistory} from './configuration_history.js';
import {ITEM_KINDS} from './item_kinds.js';
import type {Refusal} from './refusal.js';

type ItemKind = (typeof ITEM_KINDS)[number];

/** Refuses a change that touches an item changed since the change's base. */
export function checkBase(
  history: ConfigurationHistory,
  base: number,
  delta: ConfigurationDelta,
): Refusal | undefined {
  for (const kind of ITEM_KINDS) {
    const names = [
      ...delta.put[kind].map(item => item.name),
      ...delta.remove[kind],
    ];
    for (const name of names) {
      const refusal = checkItem(history, base, kind, name);
      if (refusal) return refusal;
    }
  }
  return undefined;
}

function checkItem(
  history: ConfigurationHistory,
  base: number,
  kind: ItemKind,
  name: string,
): Refusal | undefined {
  const item = `${kind}/${name}`;
  const last = history.itemVersions[kind].get(name);
  if (last && last.offset > base) {
    const {offset, editor} = last;
    return {
      code: 'stale-base',
      message: `${item} was changed by ${editor} in record ${offset}, after base ${base}`,
      winner: {offset, editor, item},
    };
  }
  const floor = history.floors[kind];
  if (!last && base < floor) {
    return {
      code: 'base-too-old',
      message: `removals of ${kind} are known only after version ${floor}, base is ${base}`,
    };
  }
  return undefined;
}
