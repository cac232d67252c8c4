import {
  ManualClock,
  type RandomSource,
  SeededRandomSource,
} from '@cardamomfield/clock';
import type {HostWeakness} from './host_weakness.js';
import {MemoryCellWorker} from './memory_cell_worker.js';
import {MemoryShardStore} from './memory_shard_store.js';
import {createSubmission} from './plain_submission.js';
import {PromiseLedger} from './promise_ledger.js';
import {SimulatedOwnerHost} from './simulated_owner_host.js';

const HOST_COUNT = 3;
const WORKER_COUNT = 4;
const WORKER_MILLICORES = 4_000;
/** A slow store answers after this time. */
const SLOW_ANSWER_MILLISECONDS = 300;

const STEP_COUNT = 120;
const LONGEST_STEP_MILLISECONDS = 500;

/** After the faults every accepted submission must come to an end in this. */
const HEALING_MILLISECONDS = 240_000;

/** After the faults, tasks of a cancelled submission must be gone in this. */
const STOP_MILLISECONDS = 3_000;

interface OwnershipRunResult {
  broken: string[];
  submitted: number;
  accepted: number;
  completed: number;
}

/**
 * A random run of several hosts that claim one shard, submit work and meet
 * faults: cuts, freezes, kills, restarts of workers, late orders, lost answers
 * and outages of the store. The workers' ledger tells which promises broke.
 */
export class OwnershipRun {
  private readonly base = ManualClock.create();
  private readonly ledger = PromiseLedger.create();
  private readonly store = MemoryShardStore.create();
  private readonly workers = new Map<string, MemoryCellWorker>();
  private readonly hosts: SimulatedOwnerHost[] = [];
  private readonly random: RandomSource;
  private readonly accepted = new Set<string>();
  private readonly cancelled = new Set<string>();
  private submitted = 0;
  private highestEpoch = 0;

  private constructor(seed: number, weakness: HostWeakness) {
    this.random = SeededRandomSource.create(seed);
    for (let index = 0; index < WORKER_COUNT; index++) {
      const id = `worker-${index}`;
      this.workers.set(
        id,
        MemoryCellWorker.create(
          id,
          WORKER_MILLICORES,
          this.base,
          this.random,
          this.ledger,
          () => createSubmission().milliCores,
          weakness.longestLeaseMilliseconds,
        ),
      );
    }
    for (let index = 0; index < HOST_COUNT; index++) {
      this.hosts.push(
        SimulatedOwnerHost.create({
          name: `host-${index}`,
          store: this.store,
          workers: this.workers,
          base: this.base,
          random: this.random,
          weakness,
        }),
      );
    }
  }

  static async play(
    seed: number,
    weakness: HostWeakness = {},
  ): Promise<OwnershipRunResult> {
    return new OwnershipRun(seed, weakness).play();
  }

  private async play(): Promise<OwnershipRunResult> {
    for (let step = 0; step < STEP_COUNT; step++) {
      this.act();
      await this.advance(this.random.integerBelow(LONGEST_STEP_MILLISECONDS));
    }
    const completed = await this.finish();
    for (const host of this.hosts) host.kill();
    await this.advance(1_000);
    return {
      broken: this.ledger.broken,
      submitted: this.submitted,
      accepted: this.accepted.size,
      completed,
    };
  }

  private async advance(milliseconds: number): Promise<void> {
    await this.base.advance(milliseconds);
    for (const worker of this.workers.values()) worker.settle();
  }

  private act(): void {
    const host = this.pick(this.hosts);
    const worker = this.pick([...this.workers.values()]);
    const faults = host.faults.get(worker.id);
    if (!faults) return;
    const actions: Array<() => void> = [
      () => this.claim(host),
      () => this.claim(host),
      () => this.submit(),
      () => this.submit(),
      () => this.submit(),
      () => {
        faults.isCut = !faults.isCut;
      },
      () => {
        faults.lateShare = faults.lateShare > 0 ? 0 : 0.5;
      },
      () => worker.restart(),
      () => {
        host.log.isCut = !host.log.isCut;
      },
      () => {
        host.log.lostShare = host.log.lostShare > 0 ? 0 : 0.3;
      },
      () => {
        host.log.answerMilliseconds =
          host.log.answerMilliseconds > 0 ? 0 : SLOW_ANSWER_MILLISECONDS;
      },
      () => host.clock.freeze(),
      () => host.clock.unfreeze(),
      () => host.clock.unfreeze(),
      () => host.kill(),
      () => {
        this.store.isDown = this.random.fraction() < 0.3;
      },
      () => host.heal(),
      () => this.cancel(),
    ];
    this.pick(actions)();
  }

  private claim(host: SimulatedOwnerHost): void {
    for (const other of this.hosts) {
      this.highestEpoch = Math.max(this.highestEpoch, other.owner?.epoch ?? 0);
    }
    void host.claim(this.highestEpoch);
  }

  private submit(): void {
    const owner = this.hosts.find(host => host.owner)?.owner;
    if (!owner) return;
    const id = this.submitted.toString(16).padStart(16, '0');
    this.submitted++;
    const {queue, specification} = createSubmission(
      1 + this.random.integerBelow(3),
    );
    void owner.submit(id, queue, specification).then(result => {
      if (result.isRight()) this.accepted.add(id);
    });
  }

  private cancel(): void {
    const owner = this.hosts.find(host => host.owner)?.owner;
    if (!owner || this.accepted.size === 0) return;
    const id = this.pick([...this.accepted]);
    void owner.cancel(id).then(result => {
      if (result.isRight()) this.cancelled.add(id);
    });
  }

  /** Ends all faults and waits for the accepted submissions. */
  private async finish(): Promise<number> {
    this.store.isDown = false;
    for (const host of this.hosts) host.heal();
    const endsAt = this.base.monotonicNow() + HEALING_MILLISECONDS;
    let completed = 0;
    while (this.base.monotonicNow() < endsAt) {
      await this.advance(LONGEST_STEP_MILLISECONDS);
      const owner = this.hosts.find(host => host.owner)?.owner;
      if (!owner) {
        this.claim(this.hosts[0]!);
        this.highestEpoch++;
        continue;
      }
      completed = [...this.accepted].filter(id =>
        hasEnded(owner.show(id).extract()),
      ).length;
      if (completed === this.accepted.size) break;
    }
    await this.advance(STOP_MILLISECONDS);
    for (const name of this.ledger.runningTasks()) {
      const [id = ''] = name.split('.');
      if (!this.cancelled.has(id)) continue;
      this.ledger.broken.push(`${name} runs on after its cancelling`);
    }
    if (completed < this.accepted.size) {
      this.ledger.broken.push(
        `${this.accepted.size - completed} accepted submissions did not end`,
      );
    }
    return completed;
  }

  private pick<Item>(items: readonly Item[]): Item {
    return items[this.random.integerBelow(items.length)]!;
  }
}

function hasEnded(state: unknown): boolean {
  return state === 'completed' || state === 'cancelled';
}
