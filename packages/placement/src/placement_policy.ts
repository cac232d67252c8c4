import type {PlacementRequest} from './placement_request.js';
import type {ServiceIndex} from './service_index.js';
import type {WorkerRecord} from './worker_record.js';

/** Chooses among the workers on which a task fits. */
export interface PlacementPolicy {
  readonly name: string;

  /** The preferred worker, or undefined when the task fits nowhere. */
  choose(
    index: ServiceIndex,
    request: PlacementRequest,
  ): WorkerRecord | undefined;

  /**
   * The cost of a fitting worker. Costs are compared element by element.
   * `choose` returns a worker with the lowest cost.
   */
  costOf(
    index: ServiceIndex,
    request: PlacementRequest,
    worker: WorkerRecord,
  ): number[];
}
