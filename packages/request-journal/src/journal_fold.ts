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

/** Writable view of a state's maps, used only by the fold. */
interface MutableMaps {
  entries: Map<string, JournalEntry>;
  keysByPosition: Map<string, string>;
}

const Snapshot = z.object({time: z.int(), entries: z.array(JournalEntry)});

/**
 * Computes the state of the journal from its records. The first intent for a
 * key wins. The first outcome of a winner is final, except that `unknown` may
 * be replaced. Entries expire by the instants of the records, so that every
 * process removes them at the same offset.
 */
export class JournalFold implements StreamFold<JournalState> {
  private constructor(private readonly expiry: number) {}

  static create(expiryMilliseconds: number): JournalFold {
    return new JournalFold(expiryMilliseconds);
  }

  initial(): JournalState {
    return {entries: new Map(), keysByPosition: new Map(), time: 0};
  }

  /**
   * Changes the entries in place. This is safe because only the follower holds
   * the state, and copying it for each record would take time proportional to
   * the number of requests in a day.
   */
  apply(state: JournalState, record: LogRecord): JournalState {
    const batch = journalBatch.decode(record.body);
    if (!batch) throw InvalidInputError.create('body is not a journal batch');
    const maps = state as JournalState & MutableMaps;
    const time = Math.max(state.time, record.appendedAt);
    this.removeExpired(maps, time);
    for (const [index, item] of batch.items.entries()) {
      if (isOutcome(item)) applyOutcome(maps, item);
      else applyIntent(maps, batch, item, {...record, index, time});
    }
    return {entries: maps.entries, keysByPosition: maps.keysByPosition, time};
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
      keysByPosition: new Map(
        entries.map(entry => [positionKey(entry), entry.key]),
      ),
    };
  }

  private removeExpired(maps: MutableMaps, time: number): void {
    // The map is ordered by intent and therefore by expiry.
    for (const [key, entry] of maps.entries) {
      if (entry.recordedAt + this.expiry > time) return;
      maps.entries.delete(key);
      maps.keysByPosition.delete(positionKey(entry));
    }
  }
}

function positionKey(position: {offset: number; index: number}): string {
  return `${position.offset}~${position.index}`;
}

function isOutcome(item: Item): item is OutcomeItem {
  return typeof item[0] === 'number';
}

function applyIntent(
  maps: MutableMaps,
  batch: Batch,
  item: IntentItem,
  record: {offset: number; index: number; time: number},
): void {
  const [key, bodyHash, deadline, coordinator, incarnation] = item;
  if (maps.entries.has(key)) return;
  maps.keysByPosition.set(positionKey(record), key);
  maps.entries.set(key, {
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
  maps: MutableMaps,
  [offset, index, answerWithoutKey]: OutcomeItem,
): void {
  const key = maps.keysByPosition.get(positionKey({offset, index}));
  const entry = key === undefined ? undefined : maps.entries.get(key);
  if (!entry) return;
  if (entry.answer && entry.answer.outcome !== 'unknown') return;
  const answer = FinalAnswer.safeParse({...answerWithoutKey, key});
  if (!answer.success) return;
  maps.entries.set(entry.key, {...entry, answer: answer.data});
}
