import {TypedError} from '@cardamomfield/errors';

/** The called host does not own the shard; nothing was done. */
export class NotOwnerError extends TypedError {
  readonly code = 'not-owner';

  static create(): NotOwnerError {
    return new NotOwnerError('this host does not own the shard');
  }
}
