import type {UnavailableError} from '@cardamomfield/errors';
import type {Either} from 'purify-ts';
import type {HostEntry} from './host_entry.js';

/** The platform's list of live and leaving hosts; it may be out of date. */
export interface HostList {
  /** Fails after the monotonic deadline. */
  list(deadline: number): Promise<Either<UnavailableError, HostEntry[]>>;
}
