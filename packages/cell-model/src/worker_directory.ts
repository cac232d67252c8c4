import type {WorkerDescription} from './worker_description.js';

/** Follows the platform's list of workers. */
export interface WorkerDirectory {
  /**
   * Calls back with each new state of a worker, or with undefined for a worker
   * that left the list, until the signal aborts.
   */
  follow(
    onChange: (id: string, worker: WorkerDescription | undefined) => void,
    signal: AbortSignal,
  ): Promise<void>;
}
