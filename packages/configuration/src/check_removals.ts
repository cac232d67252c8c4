import type {ConfigurationState} from '@cardamomfield/types';
import type {ConfigurationDelta} from './configuration_delta.js';
import {ITEM_KINDS} from './item_kinds.js';
import type {Refusal} from './refusal.js';

/** Refuses the removal of an item that does not exist. */
export function checkRemovals(
  inForce: ConfigurationState,
  remove: ConfigurationDelta['remove'],
): Refusal | undefined {
  for (const kind of ITEM_KINDS) {
    const missing = remove[kind].find(name => !inForce[kind][name]);
    if (missing !== undefined) {
      const message = `${kind}/${missing} does not exist`;
      return {code: 'not-found', message};
    }
  }
  return undefined;
}
