import type {StreamFold} from '@cardamomfield/log-follower';
import type {LogRecord} from '@cardamomfield/platform';
import {z} from 'zod';
import {applyDelta} from './apply_delta.js';
import {checkBase} from './check_base.js';
import {checkForm} from './check_form.js';
import {checkReferences} from './check_references.js';
import {checkRemovals} from './check_removals.js';
import type {ConfigurationDelta} from './configuration_delta.js';
import {ConfigurationHistory} from './configuration_history.js';
import {ConfigurationRecord} from './configuration_record.js';
import {emptyConfiguration} from './empty_configuration.js';
import type {ItemVersion} from './item_version.js';
import {NO_VERSION} from './no_version.js';
import type {Refusal} from './refusal.js';
import {touchItems} from './touch_items.js';
import {toDelta} from './to_delta.js';
import type {Verdict} from './verdict.js';
import {withDictionaries} from './with_dictionaries.js';

/** Verdicts kept for publishers whose answer was lost. */
const MAXIMUM_VERDICTS = 512;

/** Longest explanation of a record that can't be read. */
const MAXIMUM_MESSAGE_LENGTH = 500;

/**
 * Decides which records are accepted. The rules are part of the meaning of
 * the stream: processes with different rules would reach different verdicts,
 * so a change of them needs a new kind of record.
 */
export class ConfigurationFold implements StreamFold<ConfigurationHistory> {
  private constructor() {}

  static create(): ConfigurationFold {
    return new ConfigurationFold();
  }

  initial(): ConfigurationHistory {
    const state = emptyConfiguration();
    return {
      version: NO_VERSION,
      state,
      itemVersions: withDictionaries<Record<keyof typeof state, ItemVersions>>({
        racks: {},
        workers: {},
        services: {},
        teams: {},
        rules: {},
      }),
      floors: {
        racks: NO_VERSION,
        workers: NO_VERSION,
        services: NO_VERSION,
        teams: NO_VERSION,
        rules: NO_VERSION,
      },
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

  toSnapshot(history: ConfigurationHistory): unknown {
    return history;
  }

  fromSnapshot(snapshot: unknown): ConfigurationHistory | undefined {
    const parsed = ConfigurationHistory.safeParse(snapshot);
    if (!parsed.success) return undefined;
    return {
      ...parsed.data,
      state: withDictionaries(parsed.data.state),
      itemVersions: withDictionaries(parsed.data.itemVersions),
    };
  }
}

type ItemVersions = Record<string, ItemVersion>;

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
  const malformed = checkForm(record, history.version);
  if (malformed) return refuse(malformed);
  const delta = toDelta(record.change, history.state);
  const state = applyDelta(history.state, delta);
  const refusal =
    checkBase(history, record.base, delta) ??
    checkRemovals(history.state, delta.remove) ??
    checkReferences(state, delta);
  if (refusal) return refuse(refusal);
  const next = accept(history, delta, {offset, editor});
  return withVerdict({...next, state}, {outcome: 'accepted', ...source});
}

function accept(
  history: ConfigurationHistory,
  delta: ConfigurationDelta,
  by: {offset: number; editor: string},
): ConfigurationHistory {
  return {...touchItems(history, delta, by), version: by.offset};
}

function withVerdict(
  history: ConfigurationHistory,
  verdict: Verdict,
): ConfigurationHistory {
  const kept = history.verdicts.slice(1 - MAXIMUM_VERDICTS);
  return {...history, verdicts: [...kept, verdict]};
}
