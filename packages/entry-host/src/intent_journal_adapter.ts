import type {Clock} from '@cardamomfield/clock';
import {type TypedError, UncertainError} from '@cardamomfield/errors';
import type {RequestJournal} from '@cardamomfield/request-journal';
import type {IntentJournal} from '@cardamomfield/requests';
import type {FinalAnswer} from '@cardamomfield/types';
import {type Either, Left, Right} from 'purify-ts';

type Intent = Parameters<IntentJournal['recordIntent']>[0];
type JournalEntry = NonNullable<ReturnType<IntentJournal['find']>>;

/** Time limit for the confirmation of an intent or outcome. */
const CONFIRM_TIMEOUT_MILLISECONDS = 5_000;

/** Time during which an unconfirmed intent may still appear on the log. */
const UNCERTAINTY_WINDOW_MILLISECONDS = 60_000;

/** Pause between two attempts to find an entry or record an outcome. */
const RETRY_PAUSE_MILLISECONDS = 1_000;

/** Adapts the request journal to the interface that the coordinator uses. */
export class IntentJournalAdapter implements IntentJournal {
  private constructor(
    private readonly journal: RequestJournal,
    private readonly clock: Clock,
    private readonly incarnation: string,
  ) {}

  static create(
    journal: RequestJournal,
    clock: Clock,
    incarnation: string,
  ): IntentJournalAdapter {
    return new IntentJournalAdapter(journal, clock, incarnation);
  }

  async recordIntent(
    intent: Intent,
  ): Promise<Either<TypedError, JournalEntry>> {
    const deadline = this.clock.monotonicNow() + CONFIRM_TIMEOUT_MILLISECONDS;
    const recorded = await this.journal.recordIntent(intent, deadline);
    recorded.ifLeft(error => {
      if (error instanceof UncertainError) void this.closeUncertain(intent.key);
    });
    return recorded.map(({entry}) => entry);
  }

  /** Retries for one minute until the outcome is on the log. */
  async recordOutcome(
    key: string,
    answer: FinalAnswer,
  ): Promise<Either<TypedError, void>> {
    const until = this.clock.monotonicNow() + UNCERTAINTY_WINDOW_MILLISECONDS;
    for (;;) {
      const deadline = this.clock.monotonicNow() + CONFIRM_TIMEOUT_MILLISECONDS;
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
   * The caller was told that the request did not run. If its intent appears on
   * the log later, records that outcome for it.
   */
  private async closeUncertain(key: string): Promise<void> {
    const until = this.clock.monotonicNow() + UNCERTAINTY_WINDOW_MILLISECONDS;
    while (this.clock.monotonicNow() < until) {
      const entry = this.journal.find(key);
      if (entry) {
        const isOwn = entry.incarnation === this.incarnation;
        if (isOwn) await this.recordOutcome(key, notStartedAnswer(key));
        return;
      }
      await this.pause();
    }
  }

  private pause(): Promise<void> {
    const deadline = this.clock.monotonicNow() + RETRY_PAUSE_MILLISECONDS;
    return this.clock.sleepUntil(deadline);
  }
}

function notStartedAnswer(key: string): FinalAnswer {
  const message =
    'the intent could not be confirmed on the log; nothing was started';
  return {outcome: 'not-run', key, reason: {code: 'uncertain', message}};
}
