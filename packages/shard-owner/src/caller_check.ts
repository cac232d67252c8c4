import type {CallerIdentity, DesiredState} from '@cardamomfield/cell-model';
import {
  ForbiddenError,
  type TypedError,
  UnauthenticatedError,
} from '@cardamomfield/errors';
import {type Either, Left, Right} from 'purify-ts';
import {TeamKeyIndex} from './team_key_index.js';

/** An existing submission that a call concerns. */
interface CheckedSubmission {
  /** Missing or empty if it belongs to no team. */
  team?: string;
  /** Missing once the submission has ended. */
  queueName?: string;
}

interface CheckedCall {
  /** The call's queue; missing where the call does not state it. */
  queueName?: string;
  /** Missing for a call that concerns no existing submission. */
  submission?: CheckedSubmission;
}

/**
 * The owner's check of a caller that another host, or this one, has
 * authenticated by an older, equal or newer version of the desired state. A host
 * that has not learned of the removal of a key cannot have calls with it served.
 */
export class CallerCheck {
  private indexedState: DesiredState | undefined;
  private index = TeamKeyIndex.create([]);

  private constructor(
    private readonly desiredState: () => DesiredState | undefined,
  ) {}

  static create(desiredState: () => DesiredState | undefined): CallerCheck {
    return new CallerCheck(desiredState);
  }

  /**
   * Returns the caller's team, empty without one. `UnauthenticatedError`: the
   * owner's newer desired state does not know the key. `ForbiddenError`: the
   * submission belongs to another team. Hosts of earlier versions state no
   * caller; their calls are served.
   */
  check(
    caller: CallerIdentity | undefined,
    {queueName, submission}: CheckedCall,
  ): Either<TypedError, string> {
    if (!caller) return Right('');
    return this.currentTeam(caller, queueName).chain(team =>
      submission && !this.hasAccess(caller, team, submission)
        ? Left(ForbiddenError.create('the submission is of another team'))
        : Right(team),
    );
  }

  /** The caller's team by the newer of the owner's and the host's version. */
  private currentTeam(
    {keyDigest, team, version}: CallerIdentity,
    queueName: string | undefined,
  ): Either<TypedError, string> {
    const state = this.desiredState();
    if (!state?.teams || state.version <= version) return Right(team);
    if (keyDigest === '') {
      return mayCallWithoutKey(state, queueName)
        ? Right('')
        : Left(UnauthenticatedError.create('the queue is not public any more'));
    }
    const known = this.indexOf(state).teamOf(keyDigest);
    return known === undefined
      ? Left(UnauthenticatedError.create('the key is not valid any more'))
      : Right(known);
  }

  private hasAccess(
    caller: CallerIdentity,
    team: string,
    submission: CheckedSubmission,
  ): boolean {
    if (!submission.team || submission.team === team) return true;
    const state = this.desiredState();
    const isOlder = !state || state.version < caller.version;
    if (!isOlder && !state.teams) return true;
    if (team !== '') return false;
    // Without a key, a team's submissions are open where the host's newer version
    // may name no teams, or where their own queue is public.
    if (isOlder) return true;
    const {queueName} = submission;
    return state.queues.some(
      ({isPublic, name}) =>
        isPublic && (queueName === undefined || name === queueName),
    );
  }

  private indexOf(state: DesiredState): TeamKeyIndex {
    if (this.indexedState !== state) {
      this.index = TeamKeyIndex.create(state.teams ?? []);
      this.indexedState = state;
    }
    return this.index;
  }
}

/** Whether a queue, or any queue if it is not known which, needs no key. */
function mayCallWithoutKey(
  {queues}: DesiredState,
  queueName: string | undefined,
): boolean {
  if (queueName === undefined) return queues.some(({isPublic}) => isPublic);
  // A queue that the newer version does not have any more cannot be judged.
  const queue = queues.find(({name}) => name === queueName);
  return !queue || queue.isPublic === true;
}
