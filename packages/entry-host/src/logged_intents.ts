import type {Clock} from '@cardamomfield/clock';
import {type TypedError, UncertainError} from '@cardamomfield/errors';
import type {RequestJournal} from '@cardamomfield/request-journal';
import type {IntentJournal} from '@cardamomfield/requests';
import type {FinalAnswer} from '@cardamomfield/types';
import {type Either, Left, Right} from 'purify-ts';

type Intent = Parameters<IntentJournal['recordIntent']>[0];
type JournalEntry = NonNullable<ReturnType<IntentJournal['find']>>;

/** Longest wait for an intent or outcome to be confirmed. */
const CONFIRM_MILLISECONDS = 5_000;

/** Time during which an intent in doubt may still appear. */
const DOUBT_MILLISECONDS = 60_000;

/** Pause between two tries to note an outcome. */
const RETRY_MILLISECONDS = 1_000;

/** The coordinator's view of the request journal. */
export class LoggedIntents implements IntentJournal {
  private constructor(
    private readonly journal: RequestJournal,
    private readonly clock: Clock,
    private readonly incarnation: string,
  ) {}

  static create(
    journal: RequestJournal,
    clock: Clock,
    incarnation: string,
  ): LoggedIntents {
    return new LoggedIntents(journal, clock, incarnation);
  }

  async recordIntent(
    intent: Intent,
  ): Promise<Either<TypedError, JournalEntry>> {
    const deadline = this.clock.monotonicNow() + CONFIRM_MILLISECONDS;
    const recorded = await this.journal.recordIntent(intent, deadline);
    recorded.ifLeft(error => {
      if (error instanceof UncertainError) void this.closeDoubtful(intent.key);
    });
    return recorded.map(({entry}) => entry);
  }

  /** Repeats until the log has taken the outcome. */
  async recordOutcome(
    key: string,
    answer: FinalAnswer,
  ): Promise<Either<TypedError, void>> {
    const until = this.clock.monotonicNow() + DOUBT_MILLISECONDS;
    for (;;) {
      const deadline = this.clock.monotonicNow() + CONFIRM_MILLISECONDS;
      const recorded = await this.journal.recordOutcome(answer, deadline);
      if (recorded.isRight()) return Right(undefined);
      if (this.clock.monotonicNow() >= until) {
        return Left(recorded.extract() as TypedError);
      }
      await this.pause();
    }
  }

  find(key: string): JournalEntry | undefined {
    return this.journal.find(key);
  }

  /**
   * The caller was told that the request did not run, so an intent that shows
   * up later gets that outcome.
   */
  private async closeDoubtful(key: string): Promise<void> {
    const until = this.clock.monotonicNow() + DOUBT_MILLISECONDS;
    while (this.clock.monotonicNow() < until) {
      const entry = this.journal.find(key);
      if (entry) {
        const isOwn = entry.incarnation === this.incarnation;
        if (isOwn) await this.recordOutcome(key, notStarted(key));
        return;
      }
      await this.pause();
    }
  }

  private pause(): Promise<void> {
    const deadline = this.clock.monotonicNow() + RETRY_MILLISECONDS;
    return this.clock.sleepUntil(deadline);
  }
}

function notStarted(key: string): FinalAnswer {
  const message =
    'the intent could not be confirmed on the log; nothing was started';
  return {outcome: 'not-run', key, reason: {code: 'uncertain', message}};
}
