import type {ConfigurationState} from '@cardamomfield/types';
import {changeItems} from './change_items.js';
import type {ConfigurationDelta} from './configuration_delta.js';
import {toItems} from './to_items.js';
import {toState} from './to_state.js';

/** The configuration after the delta. */
export function applyDelta(
  state: ConfigurationState,
  delta: ConfigurationDelta,
): ConfigurationState {
  return toState(changeItems(toItems(state), delta));
}
