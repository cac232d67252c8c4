import type {ConfigurationState} from '@cardamomfield/types';
import {changeItems} from './change_items.js';
import {checkReferences} from './check_references.js';
import {checkRemovals} from './check_removals.js';
import type {ConfigurationDelta} from './configuration_delta.js';
import type {Refusal} from './refusal.js';
import {toItems} from './to_items.js';

/**
 * Returns the refusal that the change would get on the given configuration;
 * undefined when there is none.
 */
export function checkChange(
  inForce: ConfigurationState,
  delta: ConfigurationDelta,
): Refusal | undefined {
  const items = toItems(inForce);
  return (
    checkRemovals(items, delta.remove) ??
    checkReferences(changeItems(items, delta), delta)
  );
}
