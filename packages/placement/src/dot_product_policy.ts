import type {PlacementPolicy} from './placement_policy.js';
import type {PlacementRequest} from './placement_request.js';
import type {ServiceIndex} from './service_index.js';
import type {Vector} from './vector.js';
import {Vectors} from './vectors.js';
import type {WorkerRecord} from './worker_record.js';

/**
 * Chooses the fitting worker with the highest dot product of its available
 * amounts and the demand. This keeps the use of a worker's resources balanced,
 * but prefers emptier workers.
 */
export class DotProductPolicy implements PlacementPolicy {
  readonly name = 'dot-product';

  private constructor() {}

  static create(): DotProductPolicy {
    return new DotProductPolicy();
  }

  choose(
    index: ServiceIndex,
    request: PlacementRequest,
  ): WorkerRecord | undefined {
    const {demand, accept} = request;
    const score = this.createScore(index, demand);
    const dominant = Vectors.dominantDimension(demand, index.total);
    return index.order(dominant).findHighest(demand, score, accept);
  }

  costOf(
    index: ServiceIndex,
    request: PlacementRequest,
    worker: WorkerRecord,
  ): number[] {
    return [-this.createScore(index, request.demand)(worker.available)];
  }

  private createScore(
    index: ServiceIndex,
    demand: Vector,
  ): (available: Vector) => number {
    const weights = demand.map((amount, d) => {
      const total = index.total[d]!;
      return total > 0 ? amount / total / total : 0;
    });
    return available => {
      let product = 0;
      for (let d = 0; d < weights.length; d++) {
        product += weights[d]! * available[d]!;
      }
      return product;
    };
  }
}
