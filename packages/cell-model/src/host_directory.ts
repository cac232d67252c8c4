import type {TypedError} from '@cardamomfield/errors';
import type {Either} from 'purify-ts';
import type {HostRecord} from './host_record.js';
import type {OwnerRecord} from './owner_record.js';

/** Receives the updates of a host directory. */
interface HostDirectoryObserver {
  onHost(host: HostRecord): void;
  onOwner(owner: OwnerRecord): void;
}

/** The cell's own list of hosts and shard owners, stored on the platform. */
export interface HostDirectory {
  announceHost(host: HostRecord): Promise<Either<TypedError, void>>;

  /** A hint for other hosts; authority depends on the shard log's epoch. */
  announceOwner(owner: OwnerRecord): Promise<Either<TypedError, void>>;

  follow(observer: HostDirectoryObserver, signal: AbortSignal): Promise<void>;
}
