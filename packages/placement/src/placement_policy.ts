import type {PlacementRequest} from './placement_request.js';
import type {ServiceIndex} from './service_index.js';
import type {WorkerRecord} from './worker_record.js';

/** A way to choose among the workers on which a task fits. */
export interface PlacementPolicy {
  readonly name: string;

  /** The preferred worker, or nothing when the task fits nowhere. */
  choose(
    index: ServiceIndex,
    request: PlacementRequest,
  ): WorkerRecord | undefined;

  /**
   * The cost of a fitting worker; costs compare element by element and the
   * lowest is preferred. `choose` returns a worker of the lowest cost.
   */
  costOf(
    index: ServiceIndex,
    request: PlacementRequest,
    worker: WorkerRecord,
  ): number[];
}
