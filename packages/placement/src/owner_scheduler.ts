import type {Clock, RandomSource} from '@cardamomfield/clock';
import {RefusedError} from '@cardamomfield/errors';
import {
  type ResourceVector,
  type TaskIdentity,
  WorkKind,
} from '@cardamomfield/types';
import {type Either, Left} from 'purify-ts';
import type {z} from 'zod';
import {toExpireDecision} from './to_expire_decision.js';
import {HoldRegistry} from './hold_registry.js';
import type {HoldCommit} from './hold_commit.js';
import type {HoldRequest} from './hold_request.js';
import type {Job} from './job.js';
import {JobPlacer} from './job_placer.js';
import {JobQueue} from './job_queue.js';
import type {OwnerSummary} from './owner_summary.js';
import type {PlacedTask} from './placed_task.js';
import {PolicySet} from './policy_set.js';
import {QueuePass} from './queue_pass.js';
import {ReservationLedger} from './reservation_ledger.js';
import {RunTimes} from './run_times.js';
import type {ScheduleDecision} from './schedule_decision.js';
import {SchedulerSettings} from './scheduler_settings.js';
import {summarise} from './summarise.js';
import type {TaskInfo} from './task_info.js';
import type {TaskRecord} from './task_record.js';
import type {TeamShares} from './team_shares.js';
import {UsageShares} from './usage_shares.js';
import {Vectors} from './vectors.js';
import type {WorkerDefinition} from './worker_definition.js';

interface Dependencies {
  clock: Clock;
  random: RandomSource;
  settings?: z.input<typeof SchedulerSettings>;
  /** Shares of the teams; `UsageShares` when absent. */
  shares?: TeamShares;
  policies?: PolicySet;
}

/** A task that holds a reservation, in the form that callers receive. */
interface ReservedTask extends PlacedTask {
  info: TaskInfo;
  reserved: ResourceVector;
  isPreempting: boolean;
}

/**
 * Decides where and when work runs on the worker groups that one entry host
 * owns. It performs no I/O: the caller carries out the decisions and reports
 * the results.
 */
export class OwnerScheduler {
  private readonly ledger: ReservationLedger;
  private readonly queue: JobQueue;
  private readonly shares: TeamShares;
  private readonly holds: HoldRegistry;
  private readonly placer: JobPlacer;
  private readonly pass: QueuePass;
  private readonly runTimes = RunTimes.create();
  private readonly settings: SchedulerSettings;

  private constructor(private readonly dependencies: Dependencies) {
    const {clock, random} = dependencies;
    this.settings = SchedulerSettings.parse(dependencies.settings ?? {});
    this.ledger = ReservationLedger.create();
    this.queue = JobQueue.create(this.settings.classQueueLimit);
    this.shares = dependencies.shares ?? UsageShares.create(this.ledger.total);
    const onReserved = (record: TaskRecord) => this.recordReservation(record);
    this.holds = HoldRegistry.create(clock, this.ledger, onReserved, record =>
      this.release(record.identity),
    );
    this.placer = JobPlacer.create({
      clock,
      random,
      ledger: this.ledger,
      queue: this.queue,
      policies: dependencies.policies ?? PolicySet.create(),
      shares: this.shares,
      settings: this.settings,
      onReserved,
    });
    this.pass = QueuePass.create({
      clock,
      ledger: this.ledger,
      queue: this.queue,
      placer: this.placer,
      shares: this.shares,
      settings: this.settings,
    });
  }

  static create(dependencies: Dependencies): OwnerScheduler {
    return new OwnerScheduler(dependencies);
  }

  /** Adds a worker or replaces its definition; its tasks are kept. */
  setWorker(definition: WorkerDefinition): void {
    this.ledger.setWorker(definition);
  }

  /**
   * Stops placing tasks on a worker. Its tasks keep their reservations until
   * they are released.
   */
  removeWorker(name: string): void {
    this.ledger.removeWorker(name);
  }

  /**
   * Adds the reservation of a task that is already running on a worker. It is
   * never refused, even when it overcommits the worker.
   */
  addRunningTask(
    worker: string,
    task: TaskIdentity,
    demand: ResourceVector,
    info: TaskInfo,
  ): void {
    if (this.ledger.task(task)) return;
    const record = this.ledger.addTask(
      task,
      this.ledger.workerOrPlaceholder(worker, info.service),
      Vectors.of(demand),
      info,
      this.dependencies.clock.monotonicNow(),
    );
    this.recordReservation(record);
  }

  /**
   * Queues the tasks of a job. Refuses a job whose deadline has passed, a
   * duplicate and a job above a queue limit.
   */
  enqueue(job: Job): Either<RefusedError, void> {
    if (job.deadline <= this.dependencies.clock.wallNow()) {
      return Left(
        RefusedError.create(`the deadline of request ${job.key} has passed`, {
          reason: 'deadline-passed',
          key: job.key,
        }),
      );
    }
    return this.queue
      .add(job, this.dependencies.clock.monotonicNow())
      .map(() => undefined);
  }

  /** Removes a request from the queue and returns its waiting tasks. */
  withdraw(key: string): TaskIdentity[] {
    const withdrawn: TaskIdentity[] = [];
    for (const entry of [...this.queue.entriesOf(key)]) {
      const {attempt} = entry.job;
      for (const index of entry.pending) withdrawn.push({key, index, attempt});
      this.queue.remove(entry);
      this.placer.dropEarmarks(entry);
    }
    return withdrawn;
  }

  /** Whether tasks of the request wait in the queue. */
  isQueued(key: string): boolean {
    return this.queue.entriesOf(key).length > 0;
  }

  /**
   * Makes decisions until `limit` is reached or no more jobs can be placed.
   * All tasks of a gang are placed together, which may exceed the limit.
   */
  schedule(limit: number): ScheduleDecision[] {
    this.holds.dropExpired();
    // Leave half of the limit for placements when many jobs expire together.
    const expiryLimit = Math.min(
      Math.ceil(limit / 2),
      this.settings.expiryBatch,
    );
    const decisions: ScheduleDecision[] = this.expire(expiryLimit);
    for (const kind of WorkKind.options) {
      if (decisions.length >= limit) break;
      this.pass.run(kind, limit, decisions);
    }
    return decisions;
  }

  /** Monotonic instant by which `schedule` should be called again. */
  nextDueAt(): number {
    const {clock} = this.dependencies;
    const expiry = this.queue.earliestDeadline() ?? Infinity;
    const hold = this.holds.earliestDeadline() ?? Infinity;
    const wallDue = Math.min(expiry, hold) - clock.wallNow();
    let dueAt = clock.monotonicNow() + wallDue;
    for (const lane of this.queue.waitingLanes()) {
      dueAt = Math.min(dueAt, lane.recheckAt);
    }
    return dueAt;
  }

  /** Frees the reservation of a task that has ended or will never start. */
  release(task: TaskIdentity): boolean {
    const record = this.ledger.task(task);
    if (!record) return false;
    const runMilliseconds =
      this.dependencies.clock.monotonicNow() - record.placedAt;
    this.ledger.removeTask(record);
    const {team} = record.info;
    const amounts = Vectors.toResources(record.reserved);
    this.shares.subtract(team, amounts);
    if (record.isReclaimed) this.shares.lending?.endReturn(team, amounts);
    this.runTimes.recordEnd(record.info.kind, runMilliseconds);
    return true;
  }

  /**
   * Applies a usage report: the reservation becomes the larger of the
   * declaration and the report, which may overcommit the worker.
   */
  applyUsage(task: TaskIdentity, usage: ResourceVector): boolean {
    const record = this.ledger.task(task);
    if (!record) return false;
    const reserved = Vectors.maximum(record.declared, Vectors.of(usage));
    if (Vectors.equal(reserved, record.reserved)) return true;
    const {team} = record.info;
    const before = Vectors.toResources(record.reserved);
    const after = Vectors.toResources(reserved);
    this.shares.subtract(team, before);
    this.ledger.resizeTask(record, reserved);
    this.shares.add(team, after);
    if (record.isReclaimed) {
      this.shares.lending?.endReturn(team, before);
      this.shares.lending?.startReturn(team, after);
    }
    return true;
  }

  /** Holds capacity of one group for a gang, in full or not at all. */
  hold(request: HoldRequest): Either<RefusedError, void> {
    return this.holds.hold(request);
  }

  /**
   * Turns a hold into reservations. They are freed at the hold's deadline
   * unless `startHold` follows.
   */
  commitHold(commit: HoldCommit): Either<RefusedError, PlacedTask[]> {
    return this.holds.commit(commit);
  }

  /**
   * Ends the hold of a committed gang and returns its tasks, which must be
   * started now.
   */
  startHold(
    gangKey: string,
    group: string,
  ): Either<RefusedError, PlacedTask[]> {
    return this.holds.start(gangKey, group);
  }

  /**
   * Frees the held places and the committed tasks of a gang that were not
   * started, in one group or in all.
   */
  releaseHold(gangKey: string, group?: string): boolean {
    return this.holds.release(gangKey, group);
  }

  /** The task's reservation, if it holds one. */
  find(task: TaskIdentity): ReservedTask | undefined {
    const record = this.ledger.task(task);
    return record && describe(record);
  }

  /** Every task that holds a reservation. */
  *tasks(): Iterable<ReservedTask> {
    for (const record of this.ledger.allTasks()) yield describe(record);
  }

  /** Sum of the reservations and holds on a worker. */
  reservedOn(worker: string): ResourceVector | undefined {
    const record = this.ledger.worker(worker);
    return record && Vectors.toResources(record.reserved);
  }

  /**
   * Capacity of a worker that new tasks may use; negative where the worker is
   * overcommitted.
   */
  availableOn(worker: string): ResourceVector | undefined {
    const record = this.ledger.worker(worker);
    return record && Vectors.toResources(record.available);
  }

  /** Number of waiting tasks of a class. */
  waitingTasks(kind: WorkKind): number {
    return this.queue.taskCountOf(kind);
  }

  summary(): OwnerSummary {
    return summarise(this.ledger, this.queue, this.runTimes);
  }

  private expire(limit: number): ScheduleDecision[] {
    const wallNow = this.dependencies.clock.wallNow();
    return this.queue.takeExpired(wallNow, limit).map(entry => {
      this.placer.dropEarmarks(entry);
      return toExpireDecision(entry);
    });
  }

  private recordReservation(record: TaskRecord): void {
    const {team, kind} = record.info;
    this.shares.add(team, Vectors.toResources(record.reserved));
    this.runTimes.recordStart(kind);
  }
}

function describe(record: TaskRecord): ReservedTask {
  const {identity, worker, info, reserved, isPreempting} = record;
  return {
    task: identity,
    worker: worker.name,
    group: worker.group,
    info,
    reserved: Vectors.toResources(reserved),
    isPreempting,
  };
}
