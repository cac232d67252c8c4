import type {TypedError} from '@cardamomfield/errors';
import type {Either} from 'purify-ts';
import type {ShardRecord} from './shard_record.js';

/**
 * The durable log of one shard. Appends carry an epoch; once a higher epoch
 * was seen, appends of lower ones are refused.
 */
export interface ShardLog {
  /**
   * Appends all records or none. `ConflictError` means that another owner has
   * a higher epoch; `UnavailableError` that nothing was appended;
   * `UncertainError` that the records may be appended now or later. The same
   * call may be repeated with the same sequence number. Up to four calls may
   * be under way; one that overtook another fails with `UnavailableError` and
   * the detail `isOutOfOrder`.
   */
  append(
    records: ShardRecord[],
    epoch: number,
    sequence: number,
  ): Promise<Either<TypedError, void>>;

  /** Proves that no higher epoch was seen, without appending anything. */
  confirmEpoch(epoch: number): Promise<Either<TypedError, void>>;

  /** The newest record of each key, up to the end of the log at the call. */
  readNewest(): Promise<Either<TypedError, ShardRecord[]>>;
}
