import type {Clock, RandomSource} from '@cardamomfield/clock';
import {
  InvalidInputError,
  NotFoundError,
  type TypedError,
  UnavailableError,
} from '@cardamomfield/errors';
import {LogFollower} from '@cardamomfield/log-follower';
import type {Logger} from '@cardamomfield/logger';
import type {Metrics} from '@cardamomfield/metrics';
import type {PlatformLog} from '@cardamomfield/platform';
import type {FinalAnswer} from '@cardamomfield/types';
import {type Either, Left, Right} from 'purify-ts';
import type {z} from 'zod';
import {GroupCommit} from './group_commit.js';
import type {JournalEntry} from './journal_entry.js';
import {JournalFold} from './journal_fold.js';
import {JournalItem} from './journal_item.js';
import {JournalSettings} from './journal_settings.js';
import type {JournalState} from './journal_state.js';

const STREAM = 'journal';

interface RequestJournalOptions {
  log: PlatformLog;
  clock: Clock;
  random: RandomSource;
  logger: Logger;
  metrics: Metrics;
  /** Name of this process with its incarnation; unique to the incarnation. */
  writer: string;
  settings?: z.input<typeof JournalSettings>;
}

type Intent = Pick<
  JournalEntry,
  'key' | 'bodyHash' | 'coordinator' | 'incarnation' | 'deadline'
>;

type IntentResult = {
  /** Whether this call's own intent is the first for the key. */
  isFirst: boolean;
  /** The first intent for the key. */
  entry: JournalEntry;
};

/**
 * Journal of non-idempotent requests. The first intent for a key in log order
 * wins, and only the caller that recorded it may start the request.
 */
export class RequestJournal {
  private constructor(
    private readonly clock: Clock,
    private readonly settings: JournalSettings,
    private readonly follower: LogFollower<JournalState>,
    private readonly groupCommit: GroupCommit,
  ) {}

  static create(options: RequestJournalOptions): RequestJournal {
    const settings = JournalSettings.parse(options.settings ?? {});
    const follower = LogFollower.create({
      ...options,
      stream: STREAM,
      fold: JournalFold.create(settings.expiryMilliseconds),
      settings: {
        clockSkewMilliseconds: settings.clockSkewMilliseconds,
        trimmedStartAgeMilliseconds: settings.expiryMilliseconds,
        ...settings.follower,
      },
    });
    const {clock, metrics} = options;
    const groupCommit = GroupCommit.create({
      clock,
      follower,
      metrics,
      settings,
    });
    return new RequestJournal(clock, settings, follower, groupCommit);
  }

  /** Follows the journal and appends to it until the signal aborts. */
  async run(signal: AbortSignal): Promise<void> {
    await Promise.all([
      this.follower.run(signal),
      this.groupCommit.run(signal),
      this.refuseDuringOutages(signal),
    ]);
  }

  /** Whether the journal accepts intents at present. */
  isAvailable(): boolean {
    return this.follower.isCaughtUp() && !this.follower.isLogUnavailable();
  }

  /**
   * Records an intent and returns once it has been read back, or immediately
   * when the key already has an intent. `UnavailableError` proves that the
   * intent has no effect now or later. After `UncertainError` it may be, or
   * become, the first one for its key; the caller must not start the request.
   */
  async recordIntent(
    intent: Intent,
    callDeadline: number,
  ): Promise<Either<TypedError, IntentResult>> {
    const known = this.find(intent.key);
    if (known) return Right({isFirst: false, entry: known});
    const error = this.unavailableError() ?? this.deadlineError(intent);
    if (error) return Left(error);
    const item = this.createIntentItem(intent, callDeadline);
    const appended = await this.groupCommit.add(item);
    return appended.chain(({offset, index}) => {
      const entry = this.find(intent.key);
      if (!entry) {
        return Left(UnavailableError.create('the intent has expired'));
      }
      const isFirst = entry.offset === offset && entry.index === index;
      return Right({isFirst, entry});
    });
  }

  /**
   * Records the answer to a request that has an intent. Returns the answer in
   * effect: the first one that is not `unknown`, if there is one.
   */
  async recordOutcome(
    answer: FinalAnswer,
    callDeadline: number,
  ): Promise<Either<TypedError, FinalAnswer>> {
    const {key} = answer;
    const entry = this.find(key);
    if (!entry) return Left(missingIntentError(key));
    if (entry.answer && entry.answer.outcome !== 'unknown') {
      return Right(entry.answer);
    }
    const error = this.unavailableError();
    if (error) return Left(error);
    const item = createOutcomeItem(entry, answer, callDeadline);
    const appended = await this.groupCommit.add(item);
    return appended.chain(() => {
      const effectiveAnswer = this.find(key)?.answer;
      return effectiveAnswer
        ? Right(effectiveAnswer)
        : Left(missingIntentError(key));
    });
  }

  /**
   * Returns the first intent for a key with its outcome, as far as this process
   * has read the log.
   */
  find(key: string): JournalEntry | undefined {
    return this.follower.state().entries.get(key);
  }

  /** Entries that have not expired. */
  entries(): Iterable<JournalEntry> {
    return this.follower.state().entries.values();
  }

  /** The underlying stream, for status and for seeding. */
  stream(): LogFollower<JournalState> {
    return this.follower;
  }

  private unavailableError(): UnavailableError | undefined {
    if (this.isAvailable()) return undefined;
    const cause = this.follower.isCaughtUp()
      ? 'the log is unavailable'
      : 'the journal has not been read yet';
    return UnavailableError.create(cause);
  }

  /** Rejects a deadline after the instant at which the entry expires. */
  private deadlineError(intent: Intent): InvalidInputError | undefined {
    const skew = this.settings.clockSkewMilliseconds;
    const lifetime = this.settings.expiryMilliseconds - skew;
    const latest = this.clock.wallNow() + lifetime;
    if (intent.deadline <= latest) return undefined;
    const details = {deadline: intent.deadline, latest};
    return InvalidInputError.create('the deadline is too far away', details);
  }

  private createIntentItem(intent: Intent, deadline: number): JournalItem {
    const {key, bodyHash, coordinator, incarnation} = intent;
    return JournalItem.create({
      by: [coordinator, incarnation],
      deadline,
      length: key.length + bodyHash.length,
      encode: ({by, at}) => {
        const item = [key, bodyHash, intent.deadline - at];
        const isSame = by[0] === coordinator && by[1] === incarnation;
        return isSame ? item : [...item, coordinator, incarnation];
      },
    });
  }

  /** Fails queued items as soon as the log is known to be unavailable. */
  private async refuseDuringOutages(signal: AbortSignal): Promise<void> {
    const period = this.settings.appendMilliseconds / 10;
    while (!signal.aborted) {
      const error = this.unavailableError();
      if (error) this.groupCommit.failQueued(error);
      const next = this.clock.monotonicNow() + period;
      await this.clock.sleepUntil(next, signal);
    }
  }
}

function createOutcomeItem(
  entry: JournalEntry,
  answer: FinalAnswer,
  deadline: number,
): JournalItem {
  // The log position identifies the intent and thereby the key.
  const {key: _key, ...answerWithoutKey} = answer;
  return JournalItem.create({
    by: [entry.coordinator, entry.incarnation],
    deadline,
    length: JSON.stringify(answerWithoutKey).length,
    encode: () => [entry.offset, entry.index, answerWithoutKey],
  });
}

function missingIntentError(key: string): NotFoundError {
  return NotFoundError.create('no intent for the key', {key});
}
