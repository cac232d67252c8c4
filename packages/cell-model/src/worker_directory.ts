import type {WorkerDescription} from './worker_description.js';

/** Follows the platform's list of workers while one is interested in it. */
export interface WorkerDirectory {
  /**
   * Calls back with each new state of a worker, or with undefined for one that
   * left the list, until the signal aborts.
   */
  follow(
    onChange: (id: string, worker: WorkerDescription | undefined) => void,
    signal: AbortSignal,
  ): Promise<void>;
}
