import type {PlacementPolicy} from './placement_policy.js';
import type {PlacementRequest} from './placement_request.js';
import type {ServiceIndex} from './service_index.js';
import {Vectors} from './vectors.js';
import type {WorkerRecord} from './worker_record.js';

/** Chooses the fitting worker with the least available dominant resource. */
export class BestFitPolicy implements PlacementPolicy {
  readonly name = 'best-fit';

  private constructor() {}

  static create(): BestFitPolicy {
    return new BestFitPolicy();
  }

  choose(
    index: ServiceIndex,
    request: PlacementRequest,
  ): WorkerRecord | undefined {
    const {demand, accept} = request;
    const dominant = Vectors.dominantDimension(demand, index.total);
    let best: WorkerRecord | undefined;
    index.order(dominant).ascend(demand, demand[dominant]!, worker => {
      if (!accept(worker)) return false;
      best = worker;
      return true;
    });
    return best;
  }

  costOf(
    index: ServiceIndex,
    request: PlacementRequest,
    worker: WorkerRecord,
  ): number[] {
    const dominant = Vectors.dominantDimension(request.demand, index.total);
    return [worker.available[dominant]!];
  }
}
