import type {TypedError} from '@cardamomfield/errors';
import type {FinalAnswer} from '@cardamomfield/types';
import type {Either} from 'purify-ts';

interface Intent {
  key: string;
  bodyHash: string;
  coordinator: string;
  incarnation: string;
  /** Wall-clock instant after which the request must not start. */
  deadline: number;
}

interface JournalEntry extends Omit<Intent, 'deadline'> {
  /** Present once the request has ended. */
  answer?: FinalAnswer | undefined;
}

/** Durable record of non-idempotent requests. */
export interface IntentJournal {
  /**
   * Resolves once the intent is confirmed on the log, with the first entry for
   * the key. Any failure other than `UncertainError` proves that this intent
   * will never be the first.
   */
  recordIntent(intent: Intent): Promise<Either<TypedError, JournalEntry>>;

  /** Records the final answer of the request. */
  recordOutcome(
    key: string,
    answer: FinalAnswer,
  ): Promise<Either<TypedError, void>>;

  /** The first entry for a key, as far as this process has read the log. */
  find(key: string): JournalEntry | undefined;
}
