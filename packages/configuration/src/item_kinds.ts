import type {ConfigurationState} from '@cardamomfield/types';

/** The kinds of items of a configuration, in a fixed order. */
export const ITEM_KINDS = [
  'racks',
  'workers',
  'services',
  'teams',
  'rules',
] as const satisfies ReadonlyArray<keyof ConfigurationState>;
