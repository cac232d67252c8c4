import type {Clock} from '@cardamomfield/clock';
import {
  type TypedError,
  UnavailableError,
  UncertainError,
} from '@cardamomfield/errors';
import type {LogFollower} from '@cardamomfield/log-follower';
import type {Metrics} from '@cardamomfield/metrics';
import {type Either, Left} from 'purify-ts';
import {journalBatch} from './journal_batch.js';
import type {JournalItem} from './journal_item.js';
import type {JournalSettings} from './journal_settings.js';
import type {JournalState} from './journal_state.js';

/** Abort reasons; without one, each abort captures a stack trace. */
const ITEM_ARRIVED = 'an item arrived';
const ITEM_FINISHED = 'the item is finished';

const MILLISECONDS_PER_SECOND = 1_000;

type LogPosition = {offset: number; index: number};

interface GroupCommitOptions {
  clock: Clock;
  follower: LogFollower<JournalState>;
  metrics: Metrics;
  settings: JournalSettings;
}

/**
 * Appends items in batches. At most one append is in flight; items that arrive
 * meanwhile go into the next one.
 */
export class GroupCommit {
  private queue: JournalItem[] = [];
  private arrival = new AbortController();

  private constructor(private readonly options: GroupCommitOptions) {}

  static create(options: GroupCommitOptions): GroupCommit {
    return new GroupCommit(options);
  }

  /**
   * Queues an item and waits for its position in the log, at most until the
   * item's deadline.
   */
  async add(item: JournalItem): Promise<Either<TypedError, LogPosition>> {
    this.queue.push(item);
    this.arrival.abort(ITEM_ARRIVED);
    const {clock} = this.options;
    const finished = new AbortController();
    const expired = clock
      .sleepUntil(item.options.deadline, finished.signal)
      .then(() => undefined);
    const result = await Promise.race([item.result, expired]);
    finished.abort(ITEM_FINISHED);
    return result ?? this.expire(item);
  }

  /** Appends batches until the signal aborts. */
  async run(signal: AbortSignal): Promise<void> {
    const {clock, settings} = this.options;
    const interval = MILLISECONDS_PER_SECOND / settings.appendsPerSecond;
    signal.addEventListener('abort', () => this.arrival.abort(ITEM_ARRIVED), {
      once: true,
    });
    while (!signal.aborted) {
      await this.waitForItems(signal);
      if (signal.aborted) break;
      const nextAppendAt = clock.monotonicNow() + interval;
      await this.appendBatch(this.takeBatch());
      await clock.sleepUntil(nextAppendAt, signal);
    }
    this.failQueued(UnavailableError.create('the journal is shutting down'));
  }

  /** Fails all items that have not been sent. */
  failQueued(failure: UnavailableError): void {
    const refused = this.queue;
    this.queue = [];
    for (const item of refused) item.resolve(Left(failure));
  }

  private async waitForItems(signal: AbortSignal): Promise<void> {
    while (this.queue.length === 0 && !signal.aborted) {
      this.arrival = new AbortController();
      await this.options.clock.sleepUntil(Infinity, this.arrival.signal);
    }
  }

  private takeBatch(): JournalItem[] {
    const {recordsPerAppend, charactersPerAppend} = this.options.settings;
    let characters = 0;
    let count = 0;
    for (const item of this.queue) {
      characters += item.options.length;
      if (count === recordsPerAppend) break;
      if (count > 0 && characters > charactersPerAppend) break;
      count += 1;
    }
    return this.queue.splice(0, count);
  }

  private async appendBatch(items: JournalItem[]): Promise<void> {
    const {clock, follower, metrics, settings} = this.options;
    if (items.length === 0) return;
    for (const item of items) item.isSent = true;
    const header = {by: items[0]!.options.by, at: clock.wallNow()};
    const body = journalBatch.encode({
      ...header,
      items: items.map(item => item.options.encode(header)),
    });
    const sentAt = clock.monotonicNow();
    const deadline = sentAt + settings.appendMilliseconds;
    const result = await follower.append(body, deadline);
    metrics.timing('journal.append', clock.monotonicNow() - sentAt);
    metrics.increment('journal.items', items.length);
    for (const [index, item] of items.entries()) {
      item.resolve(result.map(offset => ({offset, index})));
    }
  }

  /** Returns the result for an item whose deadline has passed. */
  private expire(item: JournalItem): Either<TypedError, LogPosition> {
    if (item.isSent) {
      return Left(UncertainError.create('the append is still in progress'));
    }
    this.queue = this.queue.filter(queued => queued !== item);
    return Left(UnavailableError.create('the append was not sent in time'));
  }
}
