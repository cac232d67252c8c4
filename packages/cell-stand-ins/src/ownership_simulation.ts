import {type StepSpecification, digestKey} from '@cardamomfield/cell-model';
import {
  ManualClock,
  type RandomSource,
  SeededRandomSource,
} from '@cardamomfield/clock';
import type {ShardOwner} from '@cardamomfield/shard-owner';
import {AnswerLedger} from './answer_ledger.js';
import type {HostOverrides} from './host_overrides.js';
import {createGangSubmission} from './gang_submission.js';
import {MemoryCellWorker} from './memory_cell_worker.js';
import {MemoryGangs} from './memory_gangs.js';
import {MemoryShardStore} from './memory_shard_store.js';
import {createSubmission} from './plain_submission.js';
import {RunLedger} from './run_ledger.js';
import {SimulatedOwnerHost} from './simulated_owner_host.js';
import {SimulatedTeams} from './simulated_teams.js';
import {TeamLedger} from './team_ledger.js';
import {createTeamSubmission} from './team_submission.js';

const HOST_NAMES = ['host-0', 'host-1', 'host-2'];
const WORKER_COUNT = 4;
const WORKER_MILLICORES = 4_000;
/** Delay of the answers of a slow store. */
const SLOW_ANSWER_MILLISECONDS = 300;

/** Room that lets the workers take large submissions at once. */
const LARGE_WORKER_MILLICORES = 1_500_000;

/** Numbers of tasks a step of large work; owners refuse the last. */
const LARGE_TASK_COUNTS = [1, 3, 200, 600, 1_500, 3_000_000];

/** Room for several members of a gang on each worker. */
const GANG_WORKER_MILLICORES = 9_000;

/** Numbers of members of the gangs; the largest one needs two workers. */
const GANG_MEMBER_COUNTS = [2, 5, 10];

/** Share of the steps in which a worker begins to fail all that it starts. */
const FAILING_WORKER_SHARE = 0.15;
const LONGEST_FAILING_MILLISECONDS = 6_500;

const ACTION_COUNT = 120;
const LONGEST_INTERVAL_MILLISECONDS = 500;

/** Every accepted submission must end within this time after the faults. */
const RECOVERY_MILLISECONDS = 240_000;

/** Cancelled tasks must be stopped within this time after the faults. */
const STOP_MILLISECONDS = 3_000;

/** Time that the workers need to kill a run, and lateness of their timers. */
const SLOW_KILLS: HostOverrides = {
  stopMilliseconds: 900,
  timerLatenessMilliseconds: 150,
};

/** Share of actions that concern workers and work, not hosts or the store. */
const WORKER_ACTION_SHARE = 0.85;

/** Shares of the steps in which callers call a host that is an owner. */
const SUBMIT_SHARE = 0.08;
const CANCEL_SHARE = 0.12;
const SHOW_SHARE = 0.4;

/** Callers ask about this many of the newest submissions. */
const RECENT_COUNT = 8;

/** Callers also ask about this many IDs that are submitted only afterwards. */
const UPCOMING_COUNT = 2;

/** Keeps the seeds of the callers apart from those of the other draws. */
const CALLER_SEED_OFFSET = 500_000_000;

/** Keeps the seeds of gangs and failing workers apart from the others. */
const GANG_SEED_OFFSET = 700_000_000;

/** The same for teams. */
const TEAM_SEED_OFFSET = 900_000_000;

/** Share of the steps in which the limits of teams change. */
const LIMIT_CHANGE_SHARE = 0.1;

/** Longest time after which a delayed order is carried out, and its stop. */
const LATE_ORDER_MILLISECONDS = 7_000;

/** Time for the answers to the last questions. */
const ANSWER_MILLISECONDS = 1_000;

const LONGEST_DRAIN_MILLISECONDS = 8_000;
const LONGEST_CUT_MILLISECONDS = 12_000;
const LONGEST_LAPSE_MILLISECONDS = 6_000;
const LONGEST_PAUSE_MILLISECONDS = 8_000;

interface OwnershipSimulationOptions extends HostOverrides {
  /**
   * Whether workers may also drain, lose their directory entries, be cut off
   * from all hosts and pause, and need time to kill their runs.
   */
  drainsWorkers?: boolean;
  /** Whether submissions have very different numbers of tasks. */
  submitsLargeWork?: boolean;
  /**
   * Whether submissions begin with a gang and have few attempts, and workers
   * fail all that they start for some time.
   */
  submitsGangs?: boolean;
  /**
   * Whether submissions belong to teams, one of them hot, whose limits change;
   * some begin with a gang.
   */
  submitsForTeams?: boolean;
  /**
   * Whether callers also submit, cancel and ask at every host that takes itself
   * for the owner, about unanswered and future submissions too.
   */
  cancelsAtEveryHost?: boolean;
}

type Submission = ReturnType<typeof createSubmission> & {team?: string};

interface OwnershipSimulationResult {
  violations: string[];
  submitted: number;
  accepted: number;
  completed: number;
  /** Starts that were checked against a limit beside other runs of the team. */
  checkedStarts: number;
}

/**
 * Simulates several hosts that claim one shard and submit work under random
 * faults: network partitions, process pauses, kills, worker restarts, late
 * orders, lost answers and outages of the store; on request also drains, lapsed
 * entries and pauses of workers, or calls at hosts that were owners before.
 * The ledgers of the workers' runs and of the answers to callers record every
 * violated guarantee.
 */
export class OwnershipSimulation {
  private readonly virtualClock = ManualClock.create();
  private readonly ledger = RunLedger.create();
  private readonly store = MemoryShardStore.create();
  private readonly workers = new Map<string, MemoryCellWorker>();
  private readonly hosts: SimulatedOwnerHost[] = [];
  private readonly gangs: MemoryGangs;
  private readonly answers = AnswerLedger.create(this.ledger, {
    failedRuns: id =>
      this.ledger.failures.failedRuns(id, name => this.gangs.groupOf(name)),
    maximumAttempts: id => this.maximumAttempts(id),
  });
  private readonly random: RandomSource;
  /** A source of its own, so that other draws don't depend on the callers. */
  private readonly callerRandom: RandomSource;
  /** The same for gangs and failing workers. */
  private readonly gangRandom: RandomSource;
  /** The same for teams. */
  private readonly teamRandom: RandomSource;
  private readonly teams: SimulatedTeams;
  private readonly teamLedger: TeamLedger;
  private readonly submissions = new Map<string, Submission>();
  private readonly cancelled = new Set<string>();
  private submitted = 0;
  private highestTerm = 0;

  private constructor(
    seed: number,
    private readonly options: OwnershipSimulationOptions,
  ) {
    this.random = SeededRandomSource.create(seed);
    this.callerRandom = SeededRandomSource.create(seed + CALLER_SEED_OFFSET);
    this.gangRandom = SeededRandomSource.create(seed + GANG_SEED_OFFSET);
    this.gangs = MemoryGangs.create({
      now: () => this.virtualClock.monotonicNow(),
      random: this.gangRandom,
      memberCount: taskName => this.gangMemberCount(taskName),
    });
    const [{milliCores, memoryMegabytes}] = createSubmission().specification
      .steps as [StepSpecification];
    this.teamRandom = SeededRandomSource.create(seed + TEAM_SEED_OFFSET);
    this.teams = SimulatedTeams.create({
      now: () => this.virtualClock.monotonicNow(),
      random: this.teamRandom,
      hostNames: HOST_NAMES,
      milliCores,
      memoryMegabytes,
    });
    this.teamLedger = TeamLedger.create({
      ledger: this.ledger,
      teams: this.teams,
      describe: taskName => this.describeTask(taskName),
    });
    if (options.submitsForTeams) {
      this.ledger.onStart = (name, sentAt) =>
        this.teamLedger.recordStart(name, sentAt);
    }
    const overrides: HostOverrides = {
      ...(options.drainsWorkers && SLOW_KILLS),
      ...(options.submitsForTeams && {
        desiredState: hostName => this.teams.stateOf(hostName),
      }),
      ...options,
    };
    for (let index = 0; index < WORKER_COUNT; index++) {
      const id = `worker-${index}`;
      this.workers.set(
        id,
        MemoryCellWorker.create({
          id,
          milliCores: workerMilliCores(options),
          virtualClock: this.virtualClock,
          random: this.random,
          ledger: this.ledger,
          demand: () => createSubmission().milliCores,
          longestLeaseMilliseconds: overrides.longestLeaseMilliseconds,
          killMilliseconds: overrides.stopMilliseconds,
          timerLatenessMilliseconds: overrides.timerLatenessMilliseconds,
          gangs: this.gangs,
        }),
      );
    }
    for (const name of HOST_NAMES) {
      this.hosts.push(
        SimulatedOwnerHost.create({
          name,
          store: this.store,
          workers: this.workers,
          virtualClock: this.virtualClock,
          random: this.random,
          overrides,
        }),
      );
    }
  }

  static async run(
    seed: number,
    options: OwnershipSimulationOptions = {},
  ): Promise<OwnershipSimulationResult> {
    return new OwnershipSimulation(seed, options).run();
  }

  private async run(): Promise<OwnershipSimulationResult> {
    if (this.options.drainsWorkers) this.claimIfUnowned();
    for (let step = 0; step < ACTION_COUNT; step++) {
      this.performRandomAction();
      if (this.options.cancelsAtEveryHost) this.callOwners();
      if (this.options.submitsGangs) this.failWorker();
      if (this.options.submitsForTeams) this.changeLimits();
      await this.advance(
        this.random.integerBelow(LONGEST_INTERVAL_MILLISECONDS),
      );
    }
    const completed = await this.finish();
    for (const host of this.hosts) host.kill();
    await this.advance(1_000);
    this.checkAttempts();
    return {
      violations: this.ledger.violations,
      submitted: this.submitted,
      accepted: this.answers.accepted.size,
      completed,
      checkedStarts: this.teamLedger.checked,
    };
  }

  private async advance(milliseconds: number): Promise<void> {
    await this.virtualClock.advance(milliseconds);
    for (const worker of this.workers.values()) worker.settle();
  }

  private performRandomAction(): void {
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
        faults.isPartitioned = !faults.isPartitioned;
      },
      () => {
        faults.delayProbability = faults.delayProbability > 0 ? 0 : 0.5;
      },
      () => worker.restart(),
      () => {
        host.log.isPartitioned = !host.log.isPartitioned;
      },
      () => {
        host.log.lossProbability = host.log.lossProbability > 0 ? 0 : 0.3;
      },
      () => {
        host.log.answerMilliseconds =
          host.log.answerMilliseconds > 0 ? 0 : SLOW_ANSWER_MILLISECONDS;
      },
      () => host.clock.pause(),
      () => host.clock.resume(),
      () => host.clock.resume(),
      () => host.kill(),
      () => {
        this.store.isDown = this.random.fraction() < 0.3;
      },
      () => host.clearFaults(),
      () => this.cancel(),
    ];
    // Kept seeds play the actions above only, so others are chosen apart.
    const isWorkerAction =
      this.options.drainsWorkers &&
      this.random.fraction() < WORKER_ACTION_SHARE;
    this.pick(isWorkerAction ? this.workerActions(worker) : actions)();
  }

  private workerActions(worker: MemoryCellWorker): Array<() => void> {
    return [
      () => this.claimIfUnowned(),
      () => this.submit(),
      () => this.submit(),
      () => this.submit(),
      () => this.drain(worker),
      () => this.drain(worker),
      () => this.lapseEntry(worker),
      () => this.lapseEntry(worker),
      () => this.cutOff(worker),
      () => this.cutOff(worker),
      () => this.cutOff(worker),
      () => this.pause(worker),
    ];
  }

  private claimIfUnowned(): void {
    if (this.hosts.some(host => host.owner)) return;
    const host = this.pick(this.hosts);
    host.clearFaults();
    this.claim(host);
  }

  /** Drains a worker, which leaves later and is replaced by a new life. */
  private drain(worker: MemoryCellWorker): void {
    if (worker.isDraining) return;
    worker.isDraining = true;
    const {incarnation} = worker;
    this.after(LONGEST_DRAIN_MILLISECONDS, () => {
      if (worker.incarnation !== incarnation) return;
      worker.restart();
      this.lapseEntry(worker);
    });
  }

  /** Removes a worker's directory entry for some time. */
  private lapseEntry(worker: MemoryCellWorker): void {
    worker.isListed = false;
    this.after(LONGEST_LAPSE_MILLISECONDS, () => {
      worker.isListed = true;
    });
  }

  /** Cuts a worker off from all hosts for some time. */
  private cutOff(worker: MemoryCellWorker): void {
    const faults = this.hosts.flatMap(host => host.faults.get(worker.id) ?? []);
    for (const fault of faults) fault.isPartitioned = true;
    this.after(LONGEST_CUT_MILLISECONDS, () => {
      for (const fault of faults) fault.isPartitioned = false;
    });
  }

  private pause(worker: MemoryCellWorker): void {
    worker.pause();
    this.after(LONGEST_PAUSE_MILLISECONDS, () => worker.resume());
  }

  private after(longestMilliseconds: number, change: () => void): void {
    const delay = this.random.integerBelow(longestMilliseconds);
    void this.virtualClock
      .sleepUntil(this.virtualClock.monotonicNow() + delay)
      .then(change);
  }

  private claim(host: SimulatedOwnerHost): void {
    for (const other of this.hosts) {
      this.highestTerm = Math.max(this.highestTerm, other.term);
    }
    void host.claim(this.highestTerm);
  }

  /** Lets a worker fail all that it starts for some time. */
  private failWorker(): void {
    if (this.gangRandom.fraction() >= FAILING_WORKER_SHARE) return;
    const workers = [...this.workers.values()];
    const worker = workers[this.gangRandom.integerBelow(workers.length)];
    if (!worker) return;
    worker.failsStarts = true;
    const endsAt =
      this.virtualClock.monotonicNow() +
      this.gangRandom.integerBelow(LONGEST_FAILING_MILLISECONDS);
    void this.virtualClock.sleepUntil(endsAt).then(() => {
      worker.failsStarts = false;
    });
  }

  private changeLimits(): void {
    if (this.teamRandom.fraction() < LIMIT_CHANGE_SHARE) this.teams.change();
  }

  private describeTask(taskName: string): {
    team: string;
    need: StepSpecification;
  } {
    const [id = '', , step] = taskName.split('.');
    const submission = this.submissions.get(id);
    const need = submission?.specification.steps[Number(step)];
    if (!submission || !need) throw new RangeError(taskName);
    return {team: submission.team ?? '', need};
  }

  private gangMemberCount(taskName: string): number {
    const [id = '', , step] = taskName.split('.');
    const steps = this.submissions.get(id)?.specification.steps ?? [];
    const {isGang, taskCount} = steps[Number(step)] ?? {};
    return isGang && taskCount ? taskCount : 0;
  }

  private maximumAttempts(id: string): number {
    return this.submissions.get(id)?.queue.maximumAttempts ?? Infinity;
  }

  private checkAttempts(): void {
    const overrun = this.ledger.failures.overrunTasks(name => {
      const [id = ''] = name.split('.');
      return this.maximumAttempts(id);
    });
    for (const name of overrun) {
      this.ledger.violations.push(`${name} started beyond its attempts`);
    }
  }

  private submit(): void {
    const host = this.hosts.find(({owner}) => owner);
    if (!host?.owner) return;
    const id = idOf(this.submitted++);
    this.submissions.set(id, this.createSubmission());
    this.submitTo(host.owner, id);
  }

  private createSubmission(): Submission {
    if (this.options.submitsForTeams) {
      return createTeamSubmission(this.teams.draw(), this.teamRandom);
    }
    if (this.options.submitsGangs) {
      return createGangSubmission(this.pick(GANG_MEMBER_COUNTS));
    }
    return createSubmission(
      this.options.submitsLargeWork
        ? this.pick(LARGE_TASK_COUNTS)
        : 1 + this.random.integerBelow(3),
    );
  }

  private submitTo(owner: ShardOwner, id: string): void {
    const submission = this.submissions.get(id);
    if (!submission) return;
    const {queue, specification, team} = submission;
    const caller = team
      ? {team, keyDigest: digestKey(team), version: 1}
      : undefined;
    void owner.submit(id, queue, specification, caller).then(result => {
      if (result.isRight()) this.answers.accepted.add(id);
    });
  }

  private cancel(): void {
    const host = this.hosts.find(({owner}) => owner);
    if (!host?.owner || this.answers.accepted.size === 0) return;
    const id = this.pick([...this.answers.accepted]);
    this.cancelAt(host, host.owner, id);
  }

  private cancelAt(
    host: SimulatedOwnerHost,
    owner: ShardOwner,
    id: string,
  ): void {
    this.answers.recordCancelRequest(id);
    const result = owner.cancel(id);
    void result.then(answer => {
      if (answer.isRight()) this.cancelled.add(id);
    });
    void this.receive(host, result).then(answer => {
      if (!answer) return;
      const now = this.virtualClock.monotonicNow();
      this.answers.recordCancelAnswer(id, answer, now);
    });
  }

  private showAt(
    host: SimulatedOwnerHost,
    owner: ShardOwner,
    id: string,
  ): void {
    const known = this.answers.knownAnswers(id);
    void this.receive(host, owner.show(id)).then(answer => {
      if (answer) this.answers.recordShown(id, known, answer);
    });
  }

  /** The answer of a process, unless it crashes before it has sent it. */
  private async receive<Answer>(
    host: SimulatedOwnerHost,
    result: Promise<Answer>,
  ): Promise<Answer | undefined> {
    const {kills} = host;
    const answer = await result;
    await host.clock.whenRunning();
    return host.kills === kills ? answer : undefined;
  }

  /** Lets callers call every host that takes itself for the owner. */
  private callOwners(): void {
    for (const host of this.hosts) {
      const {owner} = host;
      if (!owner) continue;
      if (this.callerRandom.fraction() < SUBMIT_SHARE) {
        const id = this.pickSubmission();
        this.call(host, owner, () => this.submitTo(owner, id));
      }
      if (this.callerRandom.fraction() < CANCEL_SHARE) {
        const id = this.pickRecentId();
        this.call(host, owner, () => this.cancelAt(host, owner, id));
      }
      if (this.callerRandom.fraction() < SHOW_SHARE) {
        const id = this.pickRecentId();
        this.call(host, owner, () => this.showAt(host, owner, id));
      }
    }
  }

  /** A paused process handles calls once it runs again, unless it crashes. */
  private call(
    host: SimulatedOwnerHost,
    owner: ShardOwner,
    handle: () => void,
  ): void {
    void host.clock.whenRunning().then(() => {
      if (host.owner === owner) handle();
    });
  }

  /** A new submission, or the newest one that has no positive answer yet. */
  private pickSubmission(): string {
    const unanswered = [...this.submissions.keys()].findLast(
      id => !this.answers.accepted.has(id),
    );
    if (unanswered && this.callerRandom.fraction() < 0.5) return unanswered;
    const id = idOf(this.submitted++);
    const taskCount = 1 + this.callerRandom.integerBelow(3);
    this.submissions.set(id, createSubmission(taskCount));
    return id;
  }

  private pickRecentId(): string {
    const first = Math.max(0, this.submitted - RECENT_COUNT);
    const end = this.submitted + UPCOMING_COUNT;
    return idOf(first + this.callerRandom.integerBelow(end - first));
  }

  /** Clears all faults and waits until the accepted submissions have ended. */
  private async finish(): Promise<number> {
    this.store.isDown = false;
    if (this.options.submitsForTeams) this.teams.raise();
    for (const host of this.hosts) host.clearFaults();
    for (const worker of this.workers.values()) this.clearFaults(worker);
    // Former owners learn that they were replaced, so that the owner found below
    // is the present one, and orders sent before the end are carried out.
    if (this.options.cancelsAtEveryHost) {
      await this.advance(LATE_ORDER_MILLISECONDS);
    }
    const endsAt = this.virtualClock.monotonicNow() + RECOVERY_MILLISECONDS;
    let completed = 0;
    while (this.virtualClock.monotonicNow() < endsAt) {
      await this.advance(LONGEST_INTERVAL_MILLISECONDS);
      const owner = this.hosts.find(host => host.owner)?.owner;
      if (!owner) {
        this.claim(this.hosts[0]!);
        this.highestTerm++;
        continue;
      }
      completed = [...this.answers.accepted].filter(id =>
        this.hasEnded(owner.describe(id)),
      ).length;
      if (completed === this.answers.accepted.size) break;
    }
    await this.advance(STOP_MILLISECONDS);
    const cancelledTasks = new Set([
      ...this.ledger.runningTasks().filter(name => {
        const [id = ''] = name.split('.');
        return this.cancelled.has(id);
      }),
      ...this.ledger.runningCancelledTasks(),
    ]);
    for (const name of cancelledTasks) {
      this.ledger.violations.push(
        `${name} still runs although its submission was cancelled`,
      );
    }
    if (completed < this.answers.accepted.size) {
      this.ledger.violations.push(
        `${this.answers.accepted.size - completed} accepted submissions did not end`,
      );
    }
    await this.showAll();
    return completed;
  }

  private hasEnded(state: unknown): boolean {
    const {submitsGangs, submitsForTeams} = this.options;
    if (state === 'failed') {
      return submitsGangs === true || submitsForTeams === true;
    }
    return state === 'completed' || state === 'cancelled';
  }

  /** Checks what the present owner shows of every submission. */
  private async showAll(): Promise<void> {
    for (const host of this.hosts) {
      const {owner} = host;
      if (!owner) continue;
      for (const id of this.submissions.keys()) this.showAt(host, owner, id);
    }
    const shownBefore = this.answers.shown;
    await this.advance(ANSWER_MILLISECONDS);
    // Other modes may end at a former owner, which has no present state to show.
    const shown = this.answers.shown - shownBefore;
    if (this.options.cancelsAtEveryHost && shown < this.submissions.size) {
      this.ledger.violations.push(
        `only ${shown} of ${this.submissions.size} submissions were shown at the end`,
      );
    }
  }

  private clearFaults(worker: MemoryCellWorker): void {
    worker.isListed = true;
    worker.resume();
    if (worker.isDraining) worker.restart();
  }

  private pick<Item>(items: readonly Item[]): Item {
    return items[this.random.integerBelow(items.length)]!;
  }
}

function workerMilliCores(options: OwnershipSimulationOptions): number {
  if (options.submitsLargeWork) return LARGE_WORKER_MILLICORES;
  return options.submitsGangs || options.submitsForTeams
    ? GANG_WORKER_MILLICORES
    : WORKER_MILLICORES;
}

function idOf(index: number): string {
  return index.toString(16).padStart(16, '0');
}
