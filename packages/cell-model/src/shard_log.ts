import type {TypedError} from '@cardamomfield/errors';
import type {Either} from 'purify-ts';
import type {ShardRecord} from './shard_record.js';

/**
 * The durable log of one shard. Each append carries an epoch. Once the log has
 * seen a higher epoch, it refuses appends with a lower one.
 */
export interface ShardLog {
  /**
   * Appends all records or none. `ConflictError` means that another owner has
   * a higher epoch; `UnavailableError` that nothing was appended;
   * `UncertainError` that the records may have been appended or may still be.
   * The same call may be repeated with the same sequence number. Up to four
   * calls may be in flight. A call that arrives before an earlier one fails
   * with `UnavailableError` and the detail `isOutOfOrder`.
   */
  append(
    records: ShardRecord[],
    epoch: number,
    sequence: number,
  ): Promise<Either<TypedError, void>>;

  /** Proves that the log has seen no higher epoch, without an append. */
  confirmEpoch(epoch: number): Promise<Either<TypedError, void>>;

  /** The newest record of each key, up to the log's end at the time of call. */
  readNewest(): Promise<Either<TypedError, ShardRecord[]>>;
}
