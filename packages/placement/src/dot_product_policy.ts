import type {PlacementPolicy} from './placement_policy.js';
import type {PlacementRequest} from './placement_request.js';
import type {ServiceIndex} from './service_index.js';
import type {Vector} from './vector.js';
import {Vectors} from './vectors.js';
import type {WorkerRecord} from './worker_record.js';

/**
 * Chooses the worker whose available amounts point most nearly the way of
 * the demand, measured by their product. It keeps the resources of a worker
 * in balance, at the price of preferring emptier workers.
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
    const valueOf = this.product(index, demand);
    const dominant = Vectors.dominantDimension(demand, index.total);
    return index.order(dominant).highest(demand, valueOf, accept);
  }

  costOf(
    index: ServiceIndex,
    request: PlacementRequest,
    worker: WorkerRecord,
  ): number[] {
    return [-this.product(index, request.demand)(worker.available)];
  }

  private product(
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
