import type {TypedError} from '@cardamomfield/errors';
import type {FinalAnswer} from '@cardamomfield/types';
import type {Either} from 'purify-ts';

interface Intent {
  key: string;
  bodyHash: string;
  coordinator: string;
  incarnation: string;
  /** Wall-clock instant after which no start is made. */
  deadline: number;
}

interface JournalEntry extends Omit<Intent, 'deadline'> {
  /** Present once the request has ended. */
  answer?: FinalAnswer | undefined;
}

/** Record of non-idempotent requests that outlives every process. */
export interface IntentJournal {
  /**
   * Resolves once the intent is known to be on the log, with the entry that
   * came first for the key. A failure that is not `UncertainError` proves
   * that the intent will never be the first.
   */
  recordIntent(intent: Intent): Promise<Either<TypedError, JournalEntry>>;

  /** Notes how the request ended. */
  recordOutcome(
    key: string,
    answer: FinalAnswer,
  ): Promise<Either<TypedError, void>>;

  /** The first entry of a key, as far as this process has read. */
  find(key: string): JournalEntry | undefined;
}
