import type {TypedError} from '@cardamomfield/errors';
import type {Either} from 'purify-ts';

/** Operations behind the operator routes. Results are plain JSON. */
export interface OperatorService {
  /** Owners, epochs, versions, queues and ejected workers of this host. */
  status(): unknown;
  /** Events of this process, oldest first. */
  timeline(): unknown;
  /** Effective configuration of this host: `{version, state}`. */
  configuration(): Either<TypedError, unknown>;
  /** Publishes a change: `{base, editor, change}`. */
  publish(change: unknown): Promise<Either<TypedError, unknown>>;
  /** Voters and their version. */
  voters(): unknown;
  /** Replaces the voters after a majority of them is permanently lost. */
  resetVoters(names: readonly string[]): Promise<Either<TypedError, unknown>>;
  /** Whether this host can serve requests; if not, the error says why. */
  readiness(): Either<TypedError, void>;
}
