import type {PlacementPolicy} from './placement_policy.js';
import type {PlacementRequest} from './placement_request.js';
import type {ServiceIndex} from './service_index.js';
import type {WorkerRecord} from './worker_record.js';

/** Chooses the fitting worker that was added first. */
export class FirstFitPolicy implements PlacementPolicy {
  readonly name = 'first-fit';

  private constructor() {}

  static create(): FirstFitPolicy {
    return new FirstFitPolicy();
  }

  choose(
    index: ServiceIndex,
    request: PlacementRequest,
  ): WorkerRecord | undefined {
    let first: WorkerRecord | undefined;
    index.order('position').ascend(request.demand, -Infinity, worker => {
      if (!request.accept(worker)) return false;
      first = worker;
      return true;
    });
    return first;
  }

  costOf(
    _index: ServiceIndex,
    _request: PlacementRequest,
    worker: WorkerRecord,
  ): number[] {
    return [worker.position];
  }
}
