import {
  ManualClock,
  type RandomSource,
  SeededRandomSource,
} from '@cardamomfield/clock';
import type {HostOverrides} from './host_overrides.js';
import {MemoryCellWorker} from './memory_cell_worker.js';
import {MemoryShardStore} from './memory_shard_store.js';
import {RunLedger} from './run_ledger.js';
import {SimulatedOwnerHost} from './simulated_owner_host.js';

interface CellHarnessOptions {
  seed: number;
  /** IDs of the workers, in the order in which the directory lists them. */
  workerIds?: string[];
  /** Processor capacity of each worker. */
  milliCores?: number;
  overrides?: HostOverrides;
}

/** Test harness: a store, workers and hosts that share one virtual clock. */
export class CellHarness {
  readonly virtualClock = ManualClock.create();
  readonly store = MemoryShardStore.create();
  readonly ledger = RunLedger.create();
  readonly workers = new Map<string, MemoryCellWorker>();
  private readonly random: RandomSource;

  private constructor(private readonly options: CellHarnessOptions) {
    this.random = SeededRandomSource.create(options.seed);
    for (const id of options.workerIds ?? ['worker']) this.addWorker(id);
  }

  static create(options: CellHarnessOptions): CellHarness {
    return new CellHarness(options);
  }

  /** The worker of a harness that has a single one. */
  get worker(): MemoryCellWorker {
    const [worker] = this.workers.values();
    if (!worker) throw new RangeError('the test harness has no worker');
    return worker;
  }

  addWorker(id: string): void {
    const {milliCores, overrides} = this.options;
    const worker = MemoryCellWorker.create({
      id,
      milliCores: milliCores ?? 9_000,
      virtualClock: this.virtualClock,
      random: this.random,
      ledger: this.ledger,
      demand: () => 1,
      longestLeaseMilliseconds: overrides?.longestLeaseMilliseconds,
      killMilliseconds: overrides?.stopMilliseconds,
      timerLatenessMilliseconds: overrides?.timerLatenessMilliseconds,
    });
    this.workers.set(id, worker);
  }

  addHost(name: string): SimulatedOwnerHost {
    const {virtualClock, store, workers, random} = this;
    const overrides = this.options.overrides ?? {};
    return SimulatedOwnerHost.create({
      name,
      store,
      workers,
      virtualClock,
      random,
      overrides,
    });
  }
}
