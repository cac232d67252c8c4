import type {WorkerState} from './worker_state.js';

/** Identifies one incarnation of a worker, as `id@bornAt`. */
export function incarnationKey(worker: WorkerState): string {
  return `${worker.id}@${worker.description.bornAtUnixMilliseconds}`;
}
