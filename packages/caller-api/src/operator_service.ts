import type {TypedError} from '@cardamomfield/errors';
import type {Either} from 'purify-ts';

/** What the interface needs to answer operators. Values are plain JSON. */
export interface OperatorService {
  /** Owners, epochs, versions, queues and ejected workers of this host. */
  status(): unknown;
  /** Events of this process, oldest first. */
  timeline(): unknown;
  /** Configuration in force here: `{version, state}`. */
  configuration(): Either<TypedError, unknown>;
  /** Publishes a change: `{base, editor, change}`. */
  publish(change: unknown): Promise<Either<TypedError, unknown>>;
  /** Voters and their version. */
  voters(): unknown;
  /** Replaces the voters when a majority is gone for good. */
  resetVoters(names: readonly string[]): Promise<Either<TypedError, unknown>>;
  /** Whether this host can serve; the reason when it can't. */
  readiness(): Either<TypedError, void>;
}
