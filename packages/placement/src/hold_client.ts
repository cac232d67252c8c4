import type {TypedError} from '@cardamomfield/errors';
import type {Either} from 'purify-ts';
import type {HoldCommit} from './hold_commit.js';
import type {HoldRequest} from './hold_request.js';
import type {PlacedTask} from './placed_task.js';

/** Client with which a gang's coordinator calls the owners of groups. */
export interface HoldClient {
  /**
   * Holds capacity of one group. The request is granted in full or refused
   * immediately.
   */
  hold(request: HoldRequest): Promise<Either<TypedError, void>>;

  /** Assigns tasks to the held places without starting them. */
  commit(commit: HoldCommit): Promise<Either<TypedError, PlacedTask[]>>;

  /** Starts the committed tasks of a group. */
  start(gangKey: string, group: string): Promise<Either<TypedError, void>>;

  /**
   * Frees the hold, or the committed tasks that were not started. If the
   * message is lost, the owner frees them at the hold's deadline.
   */
  release(gangKey: string, group: string): Promise<void>;
}
