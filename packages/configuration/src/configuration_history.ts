import type {ConfigurationState} from '@cardamomfield/types';
import type {ConfigurationItems} from './configuration_items.js';
import type {ItemTable} from './item_table.js';
import type {ItemVersion} from './item_version.js';
import type {Verdict} from './verdict.js';

type ItemKind = keyof ConfigurationState;

/** State of the fold: the configuration and the data for later verdicts. */
export interface ConfigurationHistory {
  /** Offset of the last accepted record. */
  readonly version: number;
  readonly items: ConfigurationItems;
  /** Last accepted record of every item, including removed items. */
  readonly itemVersions: Readonly<Record<ItemKind, ItemTable<ItemVersion>>>;
  /** Versions up to which removals are no longer kept, by kind of item. */
  readonly floors: Readonly<Record<ItemKind, number>>;
  /** The latest verdicts, oldest first. */
  readonly verdicts: readonly Verdict[];
}
