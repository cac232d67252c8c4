import {type RandomSource, SeededRandomSource} from '@cardamomfield/clock';
import {CellHarness} from './cell_harness.js';
import type {HostOverrides} from './host_overrides.js';
import {createSubmission} from './plain_submission.js';
import type {SimulatedOwnerHost} from './simulated_owner_host.js';

const HOST_COUNT = 3;
const WORKER_COUNT = 4;
/** Three tasks a worker: any two workers have room for all tasks and more. */
const WORKER_MILLICORES = 4_500;
const TASK_COUNT = 4;
const SUBMISSION_ID = '00000000000000aa';

const ROUND_COUNT = 4;
const LONGEST_DISTURBANCE_MILLISECONDS = 8_000;
const LONGEST_INTERVAL_MILLISECONDS = 500;
const CALM_MILLISECONDS = 16_000;
const STEP_MILLISECONDS = 50;

/** Longest time until another worker answers at the address of a lost one. */
const LONGEST_REPLACEMENT_MILLISECONDS = 5_000;

/** Delay before a host claims a shard that has no owner. */
const CLAIM_INTERVAL_MILLISECONDS = 500;

const SLOW_ANSWER_MILLISECONDS = 300;

/**
 * A lasting task must run again within this time after its last run, if the
 * cell has been calm for the second time.
 */
const MAXIMUM_GAP_MILLISECONDS = 9_000;
const SETTLING_MILLISECONDS = 7_000;

interface RecoverySimulationResult {
  violations: string[];
  /** Runs that ended with their worker. */
  interrupted: number;
}

interface RecoverySimulationOptions extends HostOverrides {
  /** Whether workers may also be lost without another one in their place. */
  losesWorkers?: boolean;
}

/**
 * Simulates hosts that own one shard with a lasting submission. Short times of
 * random faults, in which workers restart or are replaced, alternate with calm
 * ones, in which every task has to run again soon.
 */
export class RecoverySimulation {
  private readonly random: RandomSource;
  private readonly harness: CellHarness;
  private readonly hosts: SimulatedOwnerHost[] = [];
  private readonly violations: string[] = [];
  /** Time of each task's last run, or of its submission. */
  private readonly lastRunAt = new Map<string, number>();
  private readonly overdue = new Set<string>();
  private nextWorker = WORKER_COUNT;
  private interrupted = 0;
  private highestTerm = 0;
  private claimAt = 0;
  private calmSince = Infinity;

  private constructor(
    seed: number,
    private readonly options: RecoverySimulationOptions,
  ) {
    this.random = SeededRandomSource.create(seed);
    this.harness = CellHarness.create({
      seed,
      workerIds: Array.from({length: WORKER_COUNT}, (_, index) =>
        workerName(index),
      ),
      milliCores: WORKER_MILLICORES,
      overrides: options,
    });
    for (let index = 0; index < HOST_COUNT; index++) {
      this.hosts.push(this.harness.addHost(`host-${index}`));
    }
  }

  static async run(
    seed: number,
    options: RecoverySimulationOptions = {},
  ): Promise<RecoverySimulationResult> {
    return new RecoverySimulation(seed, options).run();
  }

  private get now(): number {
    return this.harness.virtualClock.monotonicNow();
  }

  private async run(): Promise<RecoverySimulationResult> {
    await this.submit();
    for (let round = 0; round < ROUND_COUNT; round++) {
      await this.disturb();
      await this.calm();
    }
    for (const host of this.hosts) host.kill();
    await this.advance(STEP_MILLISECONDS);
    // A task of a service starts again after any end, also after a success.
    const unsafe = this.harness.ledger.violations.filter(
      violation => !violation.endsWith('after it was done'),
    );
    return {
      violations: [...unsafe, ...this.violations],
      interrupted: this.interrupted,
    };
  }

  private async submit(): Promise<void> {
    const {queue, specification} = createSubmission(TASK_COUNT, true);
    const [step] = specification.steps;
    if (!step) return;
    let isAccepted = false;
    while (!isAccepted) {
      this.ensureOwner();
      await this.advance(STEP_MILLISECONDS);
      const owner = this.hosts.find(host => host.owner)?.owner;
      void owner
        ?.submit(SUBMISSION_ID, queue, {...specification, steps: [step]})
        .then(result => {
          isAccepted ||= result.isRight();
        });
    }
    for (let index = 0; index < TASK_COUNT; index++) {
      this.lastRunAt.set(`${SUBMISSION_ID}.0.0.${index}`, this.now);
    }
    await this.advance(this.random.integerBelow(LONGEST_INTERVAL_MILLISECONDS));
  }

  private async disturb(): Promise<void> {
    this.calmSince = Infinity;
    const endsAt =
      this.now + this.random.integerBelow(LONGEST_DISTURBANCE_MILLISECONDS);
    let quietUntil = endsAt;
    while (this.now < endsAt) {
      quietUntil = Math.max(quietUntil, this.performRandomAction());
      await this.advance(
        this.random.integerBelow(LONGEST_INTERVAL_MILLISECONDS),
      );
    }
    this.harness.store.isDown = false;
    for (const host of this.hosts) host.clearFaults();
    this.calmSince = Math.max(this.now, quietUntil);
  }

  private async calm(): Promise<void> {
    this.overdue.clear();
    const endsAt = this.calmSince + CALM_MILLISECONDS;
    while (this.now < endsAt) {
      this.ensureOwner();
      await this.advance(STEP_MILLISECONDS);
    }
  }

  private async advance(milliseconds: number): Promise<void> {
    const {virtualClock, workers, ledger} = this.harness;
    const endsAt = this.now + milliseconds;
    while (this.now < endsAt) {
      await virtualClock.advance(
        Math.min(STEP_MILLISECONDS, endsAt - this.now),
      );
      for (const worker of workers.values()) worker.settle();
      for (const [name, lastRunAt] of this.lastRunAt) {
        if (ledger.isRunning(name)) this.lastRunAt.set(name, this.now);
        else this.checkGap(name, this.now - lastRunAt);
      }
    }
  }

  private checkGap(name: string, gap: number): void {
    const isCalm = this.now >= this.calmSince + SETTLING_MILLISECONDS;
    if (!isCalm || gap <= MAXIMUM_GAP_MILLISECONDS) return;
    if (this.overdue.has(name)) return;
    this.overdue.add(name);
    this.violations.push(
      `${name} has not run for ${gap} ms, calm since ${this.now - this.calmSince} ms`,
    );
  }

  private ensureOwner(): void {
    this.noteTerms();
    if (this.now < this.claimAt || this.hosts.some(host => host.owner)) return;
    this.claimAt = this.now + CLAIM_INTERVAL_MILLISECONDS;
    void this.pick(this.hosts).claim(this.highestTerm);
    this.highestTerm++;
  }

  private noteTerms(): void {
    for (const {term} of this.hosts) {
      this.highestTerm = Math.max(this.highestTerm, term);
    }
  }

  /** Returns the time at which the consequences of the action end. */
  private performRandomAction(): number {
    const {store, workers} = this.harness;
    const host = this.pick(this.hosts);
    const candidates = [...workers.values()].filter(
      worker => worker.isUp && !worker.isReplaced,
    );
    const worker = candidates.length > 0 ? this.pick(candidates) : undefined;
    const faults = worker && host.faults.get(worker.id);
    if (!worker || !faults) return this.now;
    const {log} = host;
    let endsAt = this.now;
    const actions: Array<() => void> = [
      () => {
        this.noteTerms();
        void host.claim(this.highestTerm);
      },
      () => {
        faults.isPartitioned = !faults.isPartitioned;
      },
      () => {
        faults.delayProbability = faults.delayProbability > 0 ? 0 : 0.5;
      },
      () => {
        this.noteInterrupted(() => worker.restart());
        endsAt += CLAIM_INTERVAL_MILLISECONDS;
      },
      () => {
        endsAt = this.replace(worker.id);
      },
      () => {
        log.isPartitioned = !log.isPartitioned;
      },
      () => {
        log.lossProbability = log.lossProbability > 0 ? 0 : 0.3;
      },
      () => {
        log.answerMilliseconds =
          log.answerMilliseconds > 0 ? 0 : SLOW_ANSWER_MILLISECONDS;
      },
      () => host.clock.pause(),
      () => host.clock.resume(),
      () => host.kill(),
      () => {
        store.isDown = this.random.fraction() < 0.5;
      },
      () => host.clearFaults(),
    ];
    this.pick(actions)();
    return endsAt;
  }

  /** Ends a worker for good and adds another one some time later. */
  private replace(id: string): number {
    const worker = this.harness.workers.get(id);
    if (!worker) return this.now;
    const isLost =
      this.options.losesWorkers === true && this.random.fraction() < 0.5;
    const replacedAt =
      this.now + this.random.integerBelow(LONGEST_REPLACEMENT_MILLISECONDS);
    this.noteInterrupted(() => worker.replace(isLost ? Infinity : replacedAt));
    void this.harness.virtualClock.sleepUntil(replacedAt).then(() => {
      this.harness.addWorker(workerName(this.nextWorker++));
    });
    return isLost ? this.now : replacedAt;
  }

  private noteInterrupted(interrupt: () => void): void {
    const {ledger} = this.harness;
    const before = ledger.runningTasks().length;
    interrupt();
    this.interrupted += before - ledger.runningTasks().length;
  }

  private pick<Item>(items: readonly Item[]): Item {
    return items[this.random.integerBelow(items.length)]!;
  }
}

function workerName(index: number): string {
  return `worker-${index}`;
}
