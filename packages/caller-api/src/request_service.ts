import type {TypedError} from '@cardamomfield/errors';
import type {RequestView} from '@cardamomfield/peer-protocol';
import type {Submission} from '@cardamomfield/types';
import type {Either} from 'purify-ts';

/** Operations of the request coordinator that the routes use. */
export interface RequestService {
  generateKey(): string;
  submit(
    submission: Submission,
    isKeyFromCaller: boolean,
  ): Promise<Either<TypedError, RequestView>>;
  show(
    key: string,
    wait?: {afterRevision?: number; waitUntil?: number},
  ): Promise<Either<TypedError, RequestView>>;
  cancel(key: string): Promise<Either<TypedError, RequestView>>;
}
