import type {ConfigurationDelta} from './configuration_delta.js';
import type {ConfigurationItems} from './configuration_items.js';
import {ITEM_KINDS} from './item_kinds.js';
import type {Refusal} from './refusal.js';

/** Refuses the removal of an item that does not exist. */
export function checkRemovals(
  inForce: ConfigurationItems,
  remove: ConfigurationDelta['remove'],
): Refusal | undefined {
  for (const kind of ITEM_KINDS) {
    const missing = remove[kind].find(name => !inForce[kind].has(name));
    if (missing !== undefined) {
      const message = `${kind}/${missing} does not exist`;
      return {code: 'not-found', message};
    }
  }
  return undefined;
}
