import {InvalidInputError} from '@cardamomfield/errors';
import type {StreamFold} from '@cardamomfield/log-follower';
import type {LogRecord} from '@cardamomfield/platform';
import type {FinalAnswer} from '@cardamomfield/types';
import {z} from 'zod';
import {journalBatch} from './journal_batch.js';
import {JournalEntry} from './journal_entry.js';
import type {JournalState} from './journal_state.js';

type Batch = NonNullable<ReturnType<typeof journalBatch.decode>>;
type Entries = Map<string, JournalEntry>;

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
    return {entries: new Map(), time: 0};
  }

  /**
   * The entries are changed in place: the state has one owner, its follower,
   * and a copy for each record would cost time in proportion to a day's
   * requests.
   */
  apply(state: JournalState, record: LogRecord): JournalState {
    const batch = journalBatch.decode(record.body);
    if (!batch) throw InvalidInputError.create('the record is not a batch');
    const entries = state.entries as Entries;
    const time = Math.max(state.time, record.appendedAt);
    this.forgetExpired(entries, time);
    for (const [index, item] of batch.items.entries()) {
      if (isOutcome(item)) applyOutcome(entries, item);
      else applyIntent(entries, batch, item, {...record, index, time});
    }
    return {entries, time};
  }

  toSnapshot(state: JournalState): unknown {
    return {time: state.time, entries: [...state.entries.values()]};
  }

  fromSnapshot(snapshot: unknown): JournalState | undefined {
    const parsed = Snapshot.safeParse(snapshot);
    if (!parsed.success) return undefined;
    const {time, entries} = parsed.data;
    return {time, entries: new Map(entries.map(entry => [entry.key, entry]))};
  }

  private forgetExpired(entries: Entries, time: number): void {
    // The map is in the order of intents, and so of expiry.
    for (const [key, entry] of entries) {
      if (entry.recordedAt + this.expiry > time) return;
      entries.delete(key);
    }
  }
}

type Item = Batch['items'][number];
type OutcomeItem = [number, number, FinalAnswer];
type IntentItem = Exclude<Item, OutcomeItem>;

function isOutcome(item: Item): item is OutcomeItem {
  return typeof item[0] === 'number';
}

function applyIntent(
  entries: Entries,
  batch: Batch,
  item: IntentItem,
  record: {offset: number; index: number; time: number},
): void {
  const [key, bodyHash, deadline, coordinator, incarnation] = item;
  if (entries.has(key)) return;
  entries.set(key, {
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
  entries: Entries,
  [offset, index, answer]: OutcomeItem,
): void {
  const entry = entries.get(answer.key);
  if (!entry || entry.offset !== offset || entry.index !== index) return;
  if (entry.answer && entry.answer.outcome !== 'unknown') return;
  entries.set(answer.key, {...entry, answer});
}
