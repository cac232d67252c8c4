import type {ConfigurationState} from '@cardamomfield/types';
import type {ItemTable} from './item_table.js';

type Tables = {
  readonly [Kind in keyof ConfigurationState]: ItemTable<
    ConfigurationState[Kind][string]
  >;
};

/** A configuration as tables, of which a change copies only a small part. */
export interface ConfigurationItems extends Tables {
  /** Names of the workers by host and port of their addresses. */
  readonly endpoints: ItemTable<string>;
}
