import {InvalidInputError} from '@cardamomfield/errors';
import type {StreamFold} from '@cardamomfield/log-follower';
import type {LogRecord} from '@cardamomfield/platform';
import {FinalAnswer} from '@cardamomfield/types';
import {z} from 'zod';
import {journalBatch} from './journal_batch.js';
import {JournalEntry} from './journal_entry.js';
import type {JournalState} from './journal_state.js';

type Batch = NonNullable<ReturnType<typeof journalBatch.decode>>;
type Item = Batch['items'][number];
type OutcomeItem = Extract<Item, [number, number, unknown]>;
type IntentItem = Exclude<Item, OutcomeItem>;

/** The maps of a state, for the fold only. */
interface Tables {
  entries: Map<string, JournalEntry>;
  places: Map<string, string>;
}

const Snapshot = z.object({time: z.int(), entries: z.array(JournalEntry)});

/**
 * The journal's fold: the first intent for a key wins, and the first outcome
 * of a winner stands, except that `unknown` may be replaced. Entries expire by
 * the instants of the records, so that every process forgets them at the same
 * offset.
 */
export class JournalFold implements StreamFold<JournalState> {
  private constructor(private readonly expiry: number) {}

  static create(expiryMilliseconds: number): JournalFold {
    return new JournalFold(expiryMilliseconds);
  }

  initial(): JournalState {
    return {entries: new Map(), places: new Map(), time: 0};
  }

  /**
   * The entries are changed in place: the state has one owner, its follower,
   * and a copy for each record would cost time in proportion to a day's
   * requests.
   */
  apply(state: JournalState, record: LogRecord): JournalState {
    const batch = journalBatch.decode(record.body);
    if (!batch) throw InvalidInputError.create('the record is not a batch');
    const tables = state as JournalState & Tables;
    const time = Math.max(state.time, record.appendedAt);
    this.forgetExpired(tables, time);
    for (const [index, item] of batch.items.entries()) {
      if (isOutcome(item)) applyOutcome(tables, item);
      else applyIntent(tables, batch, item, {...record, index, time});
    }
    return {entries: tables.entries, places: tables.places, time};
  }

  toSnapshot(state: JournalState): unknown {
    return {time: state.time, entries: [...state.entries.values()]};
  }

  fromSnapshot(snapshot: unknown): JournalState | undefined {
    const parsed = Snapshot.safeParse(snapshot);
    if (!parsed.success) return undefined;
    const {time, entries} = parsed.data;
    return {
      time,
      entries: new Map(entries.map(entry => [entry.key, entry])),
      places: new Map(entries.map(entry => [placeOf(entry), entry.key])),
    };
  }

  private forgetExpired(tables: Tables, time: number): void {
    // The map is in the order of intents, and so of expiry.
    for (const [key, entry] of tables.entries) {
      if (entry.recordedAt + this.expiry > time) return;
      tables.entries.delete(key);
      tables.places.delete(placeOf(entry));
    }
  }
}

function placeOf(place: {offset: number; index: number}): string {
  return `${place.offset}~${place.index}`;
}

function isOutcome(item: Item): item is OutcomeItem {
  return typeof item[0] === 'number';
}

function applyIntent(
  tables: Tables,
  batch: Batch,
  item: IntentItem,
  record: {offset: number; index: number; time: number},
): void {
  const [key, bodyHash, deadline, coordinator, incarnation] = item;
  if (tables.entries.has(key)) return;
  tables.places.set(placeOf(record), key);
  tables.entries.set(key, {
    key,
    bodyHash,
    coordinator: coordinator ?? batch.by[0],
    incarnation: incarnation ?? batch.by[1],
    deadline: batch.at + deadline,
    offset: record.offset,
    index: record.index,
    recordedAt: record.time,
  });
}

function applyOutcome(
  tables: Tables,
  [offset, index, keyless]: OutcomeItem,
): void {
  const key = tables.places.get(placeOf({offset, index}));
  const entry = key === undefined ? undefined : tables.entries.get(key);
  if (!entry) return;
  if (entry.answer && entry.answer.outcome !== 'unknown') return;
  const answer = FinalAnswer.safeParse({...keyless, key});
  if (!answer.success) return;
  tables.entries.set(entry.key, {...entry, answer: answer.data});
}
