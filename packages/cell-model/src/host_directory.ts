import type {TypedError} from '@cardamomfield/errors';
import type {Either} from 'purify-ts';
import type {HostRecord} from './host_record.js';
import type {OwnerRecord} from './owner_record.js';

/** What a follower of the directory is told. */
interface HostDirectoryObserver {
  onHost(host: HostRecord): void;
  onOwner(owner: OwnerRecord): void;
}

/** The cell's own list of hosts and shard owners, kept on the platform. */
export interface HostDirectory {
  announceHost(host: HostRecord): Promise<Either<TypedError, void>>;

  /** A hint for others; authority rests on the epoch of the shard's log. */
  announceOwner(owner: OwnerRecord): Promise<Either<TypedError, void>>;

  follow(observer: HostDirectoryObserver, signal: AbortSignal): Promise<void>;
}
