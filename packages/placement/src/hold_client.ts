import type {TypedError} from '@cardamomfield/errors';
import type {Either} from 'purify-ts';
import type {HoldCommit} from './hold_commit.js';
import type {HoldRequest} from './hold_request.js';
import type {PlacedTask} from './placed_task.js';

/** The owners of worker groups, as the coordinator of a gang reaches them. */
export interface HoldClient {
  /** Keeps capacity of one group; granted whole or refused at once. */
  hold(request: HoldRequest): Promise<Either<TypedError, void>>;

  /** Assigns tasks to the held places. Nothing is started yet. */
  commit(commit: HoldCommit): Promise<Either<TypedError, PlacedTask[]>>;

  /** Starts the committed tasks of a group. */
  start(gangKey: string, group: string): Promise<Either<TypedError, void>>;

  /**
   * Frees the hold, or the committed tasks that were not started. When the
   * message is lost, the owner frees them at the deadline.
   */
  release(gangKey: string, group: string): Promise<void>;
}
