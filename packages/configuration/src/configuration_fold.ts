import type {StreamFold} from '@cardamomfield/log-follower';
import type {LogRecord} from '@cardamomfield/platform';
import type {ConfigurationState} from '@cardamomfield/types';
import {z} from 'zod';
import {changeItems} from './change_items.js';
import {checkBase} from './check_base.js';
import {checkRecord} from './check_record.js';
import {checkReferences} from './check_references.js';
import {checkRemovals} from './check_removals.js';
import type {ConfigurationHistory} from './configuration_history.js';
import {ConfigurationRecord} from './configuration_record.js';
import {ConfigurationSnapshot} from './configuration_snapshot.js';
import {emptyConfiguration} from './empty_configuration.js';
import {ItemTable} from './item_table.js';
import {NO_VERSION} from './no_version.js';
import type {Refusal} from './refusal.js';
import {updateItemVersions} from './update_item_versions.js';
import {toDelta} from './to_delta.js';
import type {Verdict} from './verdict.js';
import {toItems} from './to_items.js';
import {toState} from './to_state.js';

/** Verdicts kept for publishers whose answer was lost. */
const MAXIMUM_VERDICTS = 512;

/** Longest message of the refusal of a record that can't be parsed. */
const MAXIMUM_MESSAGE_LENGTH = 500;

/**
 * Computes the configuration from the records of the stream and decides which
 * of them are accepted. Processes with different rules would reach different
 * verdicts on the same record, so changed rules need a new kind of record.
 */
export class ConfigurationFold implements StreamFold<ConfigurationHistory> {
  private constructor() {}

  static create(): ConfigurationFold {
    return new ConfigurationFold();
  }

  initial(): ConfigurationHistory {
    return {
      version: NO_VERSION,
      items: toItems(emptyConfiguration()),
      itemVersions: byKind(() => ItemTable.create()),
      floors: byKind(() => NO_VERSION),
      verdicts: [],
    };
  }

  apply(
    history: ConfigurationHistory,
    {offset, body}: LogRecord,
  ): ConfigurationHistory {
    const parsed = ConfigurationRecord.safeParse(body);
    if (!parsed.success) {
      const message = z.prettifyError(parsed.error);
      const reason: Refusal = {
        code: 'malformed',
        message: message.slice(0, MAXIMUM_MESSAGE_LENGTH),
      };
      return withVerdict(history, {outcome: 'refused', offset, reason});
    }
    return decide(history, offset, parsed.data);
  }

  toSnapshot(history: ConfigurationHistory): ConfigurationSnapshot {
    const {version, items, itemVersions, floors, verdicts} = history;
    return {
      version,
      state: toState(items),
      itemVersions: byKind(kind => itemVersions[kind].toRecord()),
      floors,
      verdicts: [...verdicts],
    };
  }

  fromSnapshot(snapshot: unknown): ConfigurationHistory | undefined {
    const parsed = ConfigurationSnapshot.safeParse(snapshot);
    if (!parsed.success) return undefined;
    const {state, itemVersions, ...rest} = parsed.data;
    return {
      ...rest,
      items: toItems(state),
      itemVersions: byKind(kind => ItemTable.create(itemVersions[kind])),
    };
  }
}

function byKind<Value>(
  create: (kind: keyof ConfigurationState) => Value,
): Record<keyof ConfigurationState, Value> {
  return {
    racks: create('racks'),
    workers: create('workers'),
    services: create('services'),
    teams: create('teams'),
    rules: create('rules'),
  };
}

function decide(
  history: ConfigurationHistory,
  offset: number,
  record: ConfigurationRecord,
): ConfigurationHistory {
  const {editor, publication} = record;
  const source = {
    offset,
    editor,
    ...(publication === undefined ? {} : {publication}),
  };
  const refuse = (reason: Refusal) =>
    withVerdict(history, {outcome: 'refused', ...source, reason});
  const malformed = checkRecord(record, history.version);
  if (malformed) return refuse(malformed);
  const delta = toDelta(record.change, history.items);
  const items = changeItems(history.items, delta);
  const refusal =
    checkBase(history, record.base, delta) ??
    checkRemovals(history.items, delta.remove) ??
    checkReferences(items, delta);
  if (refusal) return refuse(refusal);
  const touched = updateItemVersions(history, delta, items, {offset, editor});
  const next = {...history, ...touched, items, version: offset};
  return withVerdict(next, {outcome: 'accepted', ...source});
}

function withVerdict(
  history: ConfigurationHistory,
  verdict: Verdict,
): ConfigurationHistory {
  const kept = history.verdicts.slice(1 - MAXIMUM_VERDICTS);
  return {...history, verdicts: [...kept, verdict]};
}
