import type {TypedError} from '@cardamomfield/errors';
import type {Either} from 'purify-ts';

/** Position of an item of the journal in the log. */
type LogPosition = {offset: number; index: number};

interface JournalItemOptions {
  /** Encodes the item for a batch with the given header. */
  encode: (batch: {by: [string, string]; at: number}) => unknown[];
  /** Coordinator and incarnation, for a batch that begins with this item. */
  by: [string, string];
  /** Approximate length as JSON, for the limit on a batch. */
  length: number;
  /** Monotonic instant after which the item is no longer sent. */
  deadline: number;
}

/** An intent or outcome that waits to be appended. */
export class JournalItem {
  readonly result: Promise<Either<TypedError, LogPosition>>;
  isSent = false;
  private resolveResult!: (result: Either<TypedError, LogPosition>) => void;

  private constructor(readonly options: JournalItemOptions) {
    this.result = new Promise(resolve => {
      this.resolveResult = resolve;
    });
  }

  static create(options: JournalItemOptions): JournalItem {
    return new JournalItem(options);
  }

  /** Settles the result. Later calls have no effect. */
  resolve(result: Either<TypedError, LogPosition>): void {
    this.resolveResult(result);
  }
}
