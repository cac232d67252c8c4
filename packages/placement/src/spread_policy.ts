import type {PlacementPolicy} from './placement_policy.js';
import type {PlacementRequest} from './placement_request.js';
import type {ServiceIndex} from './service_index.js';
import {Vectors} from './vectors.js';
import type {WorkerRecord} from './worker_record.js';

/**
 * Spreads the tasks of a job over availability zones, then over racks, then
 * over workers. Among equals it chooses the worker with the most of the
 * dominant resource available.
 */
export class SpreadPolicy implements PlacementPolicy {
  readonly name = 'spread';

  private constructor() {}

  static create(): SpreadPolicy {
    return new SpreadPolicy();
  }

  choose(
    index: ServiceIndex,
    request: PlacementRequest,
  ): WorkerRecord | undefined {
    let best: WorkerRecord | undefined;
    let lowest: number[] | undefined;
    for (const zone of index.zoneNames) {
      const count = request.spread.inZone(zone);
      if (lowest && count > lowest[0]!) continue;
      const worker = this.chooseInZone(index, request, zone);
      if (!worker) continue;
      const cost = this.costOf(index, request, worker);
      if (lowest && !isLower(cost, lowest)) continue;
      best = worker;
      lowest = cost;
    }
    return best;
  }

  costOf(
    index: ServiceIndex,
    request: PlacementRequest,
    worker: WorkerRecord,
  ): number[] {
    const {demand, spread} = request;
    const dominant = Vectors.dominantDimension(demand, index.total);
    return [
      spread.inZone(worker.zone),
      spread.inGroup(worker.group),
      spread.onWorker(worker.name),
      -worker.available[dominant]!,
    ];
  }

  private chooseInZone(
    index: ServiceIndex,
    request: PlacementRequest,
    zone: string,
  ): WorkerRecord | undefined {
    const {demand, spread, accept} = request;
    const dominant = Vectors.dominantDimension(demand, index.total);
    const fewest = spread.fewestIn(index.groupsOf(zone).keys());
    let best: WorkerRecord | undefined;
    let bestInGroup = Infinity;
    let bestOnWorker = Infinity;
    index.zoneOrder(zone, dominant).descend(demand, worker => {
      const inGroup = spread.inGroup(worker.group);
      if (inGroup > bestInGroup || !accept(worker)) return false;
      const onWorker = spread.onWorker(worker.name);
      if (inGroup === bestInGroup && onWorker >= bestOnWorker) return false;
      best = worker;
      bestInGroup = inGroup;
      bestOnWorker = onWorker;
      return inGroup === fewest && onWorker === 0;
    });
    return best;
  }
}

function isLower(a: number[], b: number[]): boolean {
  for (let i = 0; i < a.length; i++) {
    if (a[i] !== b[i]) return a[i]! < b[i]!;
  }
  return false;
}
