import {
  ManualClock,
  type RandomSource,
  SeededRandomSource,
} from '@cardamomfield/clock';
import type {HostWeakness} from './host_weakness.js';
import {MemoryCellWorker} from './memory_cell_worker.js';
import {MemoryShardStore} from './memory_shard_store.js';
import {PromiseLedger} from './promise_ledger.js';
import {SimulatedOwnerHost} from './simulated_owner_host.js';

interface CellRigOptions {
  seed: number;
  /** Workers in the order in which the directory lists them. */
  workerIds?: string[];
  /** Processors of each worker. */
  milliCores?: number;
  weakness?: HostWeakness;
}

/** A store, workers and hosts in virtual time, for directed tests. */
export class CellRig {
  readonly base = ManualClock.create();
  readonly store = MemoryShardStore.create();
  readonly ledger = PromiseLedger.create();
  readonly workers = new Map<string, MemoryCellWorker>();
  private readonly random: RandomSource;

  private constructor(private readonly options: CellRigOptions) {
    this.random = SeededRandomSource.create(options.seed);
    for (const id of options.workerIds ?? ['worker']) {
      this.workers.set(
        id,
        MemoryCellWorker.create(
          id,
          options.milliCores ?? 9_000,
          this.base,
          this.random,
          this.ledger,
          () => 1,
          options.weakness?.longestLeaseMilliseconds,
        ),
      );
    }
  }

  static create(options: CellRigOptions): CellRig {
    return new CellRig(options);
  }

  /** The only worker of a rig with one. */
  get worker(): MemoryCellWorker {
    const [worker] = this.workers.values();
    if (!worker) throw new RangeError('the rig has no worker');
    return worker;
  }

  addHost(name: string): SimulatedOwnerHost {
    const {base, store, workers, random} = this;
    const weakness = this.options.weakness ?? {};
    return SimulatedOwnerHost.create({
      name,
      store,
      workers,
      base,
      random,
      weakness,
    });
  }
}
