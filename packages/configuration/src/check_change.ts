import type {ConfigurationState} from '@cardamomfield/types';
import {applyDelta} from './apply_delta.js';
import {checkReferences} from './check_references.js';
import {checkRemovals} from './check_removals.js';
import type {ConfigurationDelta} from './configuration_delta.js';
import type {Refusal} from './refusal.js';

/** Why the change would be refused on the given configuration, if it would. */
export function checkChange(
  inForce: ConfigurationState,
  delta: ConfigurationDelta,
): Refusal | undefined {
  return (
    checkRemovals(inForce, delta.remove) ??
    checkReferences(applyDelta(inForce, delta), delta)
  );
}
