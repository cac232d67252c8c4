import {
  type CallerIdentity,
  type DesiredState,
  type Queue,
  digestKey,
} from '@cardamomfield/cell-model';
import {UnauthenticatedError} from '@cardamomfield/errors';
import {TeamKeyIndex} from '@cardamomfield/shard-owner';
import {type Either, Left, Right} from 'purify-ts';
import type {DesiredStateCache} from './desired_state_cache.js';

const SCHEME = 'bearer ';

/** Identifies callers by their keys and the newest desired state. */
export class CallerAuthenticator {
  private indexedState: DesiredState | undefined;
  private index = TeamKeyIndex.create([]);

  private constructor(private readonly desiredState: DesiredStateCache) {}

  static create(desiredState: DesiredStateCache): CallerAuthenticator {
    return new CallerAuthenticator(desiredState);
  }

  /**
   * Takes the value of the call's `Authorization` header. The `reason` in the
   * error's details is `missing` without a key and `unknown` for one that no
   * team holds.
   */
  authenticate(
    queue: Queue,
    authorization: string | undefined,
  ): Either<UnauthenticatedError, CallerIdentity> {
    const {state, version} = this.desiredState;
    if (!state?.teams || queue.isPublic) {
      return Right({team: '', keyDigest: '', version});
    }
    const key = readKey(authorization);
    if (key === '') {
      return Left(
        UnauthenticatedError.create('a key is needed', {reason: 'missing'}),
      );
    }
    const keyDigest = digestKey(key);
    const team = this.indexOf(state).teamOf(keyDigest);
    return team === undefined
      ? Left(
          UnauthenticatedError.create('the key is unknown', {
            reason: 'unknown',
          }),
        )
      : Right({team, keyDigest, version});
  }

  private indexOf(state: DesiredState): TeamKeyIndex {
    if (this.indexedState !== state) {
      this.index = TeamKeyIndex.create(state.teams ?? []);
      this.indexedState = state;
    }
    return this.index;
  }
}

/** Empty without a key of the expected scheme, whose case does not matter. */
function readKey(authorization = ''): string {
  const scheme = authorization.slice(0, SCHEME.length).toLowerCase();
  return scheme === SCHEME ? authorization.slice(SCHEME.length).trim() : '';
}
