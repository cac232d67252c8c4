import {request} from 'undici';
import type {LocalCluster} from './local_cluster.js';

interface Start {
  worker: string;
  task: {key: string; index: number; attempt: number};
  startedAt: number;
  endedAt?: number;
}

interface WorkerLedger {
  starts: Start[];
  overlaps: unknown[];
  peakReserved: Record<string, number>;
}

/** Starts and reservations recorded by the stand-in workers. */
export class ClusterLedger {
  private constructor(
    private readonly ledgers: ReadonlyMap<string, WorkerLedger>,
  ) {}

  /** Reads the records of all workers. */
  static async read(cluster: LocalCluster): Promise<ClusterLedger> {
    const ledgers = new Map<string, WorkerLedger>();
    for (const [name, {url}] of cluster.workers) {
      const answer = await request(`${url}/control/ledger`);
      ledgers.set(name, (await answer.body.json()) as WorkerLedger);
    }
    return new ClusterLedger(ledgers);
  }

  /** Returns the starts of a request on all workers. */
  startsOf(key: string): Start[] {
    return this.starts().filter(start => start.task.key === key);
  }

  /** Returns pairs of starts of one task whose runs overlapped. */
  overlaps(): Array<[Start, Start]> {
    const byTask = new Map<string, Start[]>();
    for (const start of this.starts()) {
      const name = `${start.task.key}~${start.task.index}`;
      byTask.set(name, [...(byTask.get(name) ?? []), start]);
    }
    return [...byTask.values()].flatMap(overlapsOf);
  }

  /** Returns the largest amount of a resource reserved on any worker. */
  peak(resource: string): number {
    const peaks = [...this.ledgers.values()].map(
      ledger => ledger.peakReserved[resource] ?? 0,
    );
    return Math.max(...peaks);
  }

  private starts(): Start[] {
    return [...this.ledgers.values()].flatMap(ledger => ledger.starts);
  }
}

function overlapsOf(starts: Start[]): Array<[Start, Start]> {
  const sorted = [...starts].sort((a, b) => a.startedAt - b.startedAt);
  return sorted.flatMap((start, position) => {
    const next = sorted[position + 1];
    if (!next) return [];
    const isOver = (start.endedAt ?? Infinity) <= next.startedAt;
    return isOver ? [] : [[start, next] as [Start, Start]];
  });
}
