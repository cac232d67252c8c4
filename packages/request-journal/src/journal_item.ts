import type {TypedError} from '@cardamomfield/errors';
import type {Either} from 'purify-ts';

/** Where an item of the journal ended up in the log. */
type Place = {offset: number; index: number};

interface JournalItemOptions {
  /** Makes the item's part of a batch with the given base. */
  encode: (batch: {by: [string, string]; at: number}) => unknown[];
  /** Coordinator and incarnation, for a batch that begins with this item. */
  by: [string, string];
  /** Length of the item as JSON, for the cap on a batch. */
  length: number;
  /** Monotonic instant after which it is no longer sent. */
  deadline: number;
}

/** An intent or outcome that waits for its append. */
export class JournalItem {
  readonly done: Promise<Either<TypedError, Place>>;
  isSent = false;
  private finish!: (result: Either<TypedError, Place>) => void;

  private constructor(readonly options: JournalItemOptions) {
    this.done = new Promise(resolve => {
      this.finish = resolve;
    });
  }

  static create(options: JournalItemOptions): JournalItem {
    return new JournalItem(options);
  }

  /** Ends the wait; only the first result counts. */
  resolve(result: Either<TypedError, Place>): void {
    this.finish(result);
  }
}
