import type {Clock, RandomSource} from '@cardamomfield/clock';
import type {Earmark} from './earmark.js';
import type {JobQueue} from './job_queue.js';
import {JobSpread} from './job_spread.js';
import type {PlacementRequest} from './placement_request.js';
import type {PolicySet} from './policy_set.js';
import {PreemptionPlanner} from './preemption_planner.js';
import type {QueuedJob} from './queued_job.js';
import type {ReservationLedger} from './reservation_ledger.js';
import type {ScheduleDecision} from './schedule_decision.js';
import type {SchedulerSettings} from './scheduler_settings.js';
import type {ServiceIndex} from './service_index.js';
import type {TaskRecord} from './task_record.js';
import type {TeamShares} from './team_shares.js';
import {Vectors} from './vectors.js';
import type {WorkerRecord} from './worker_record.js';

/**
 * An urgent job that lacks earmarks is tried again after this time, because
 * batch tasks that have started in the meantime may be preempted.
 */
const URGENT_RETRY_MILLISECONDS = 100;

interface Dependencies {
  clock: Clock;
  random: RandomSource;
  ledger: ReservationLedger;
  queue: JobQueue;
  policies: PolicySet;
  settings: SchedulerSettings;
  shares: TeamShares;
  /** Called for every new reservation. */
  onReserved: (record: TaskRecord) => void;
}

/**
 * Places the tasks of one job at a time and sets capacity aside for a blocked
 * job. For urgent work it does so immediately, by choosing batch tasks to
 * preempt. For other work it does so from `QueuedJob.earmarksFrom` on.
 */
export class JobPlacer {
  private readonly planner: PreemptionPlanner;
  /** Number of workers with earmarks of blocked jobs, by service. */
  private readonly earmarkCounts = new Map<string, number>();

  private constructor(private readonly dependencies: Dependencies) {
    this.planner = PreemptionPlanner.create(dependencies.random);
  }

  static create(dependencies: Dependencies): JobPlacer {
    return new JobPlacer(dependencies);
  }

  /**
   * Places the tasks that fit, up to `limit`, and earmarks capacity for the
   * rest. A gang may exceed the limit.
   */
  attempt(
    entry: QueuedJob,
    limit: number,
    decisions: ScheduleDecision[],
  ): void {
    this.dropExpiredEarmarks(entry);
    this.suspendEarmarks(entry);
    const end = decisions.length + limit;
    if (entry.job.kind === 'gang') this.placeAllOrNone(entry, decisions);
    else this.placeIndividually(entry, end, decisions);
    this.restoreEarmarks(entry);
    if (!entry.isQueued || decisions.length >= end) return;
    this.earmarkCapacity(entry, decisions);
  }

  /** Releases the capacity that is set aside for a job. */
  dropEarmarks(entry: QueuedJob): void {
    for (const earmark of entry.earmarks) this.dropEarmark(entry, earmark);
    entry.earmarks = [];
  }

  /** Monotonic instant at which a blocked job needs another attempt. */
  recheckAt(entry: QueuedJob): number {
    let recheckAt = Infinity;
    for (const earmark of entry.earmarks) {
      recheckAt = Math.min(recheckAt, earmark.deadline);
    }
    const lacksEarmarks = entry.earmarks.length < entry.pending.length;
    if (entry.job.kind === 'urgent' && lacksEarmarks) {
      const {clock} = this.dependencies;
      return Math.min(
        recheckAt,
        clock.monotonicNow() + URGENT_RETRY_MILLISECONDS,
      );
    }
    if (entry.earmarksFrom > this.dependencies.clock.monotonicNow()) {
      recheckAt = Math.min(recheckAt, entry.earmarksFrom);
    }
    return recheckAt;
  }

  private placeIndividually(
    entry: QueuedJob,
    end: number,
    decisions: ScheduleDecision[],
  ): void {
    const request = this.requestFor(entry);
    while (entry.isQueued && decisions.length < end) {
      const worker = this.chooseWorker(entry, request);
      if (!worker) return;
      const record = this.reserve(entry, entry.pending[0]!, worker);
      this.consumeEarmark(entry, worker);
      request.spread.add(worker);
      decisions.push(toPlaceDecision(record, entry));
      this.dependencies.queue.dropFirstTask(entry);
    }
  }

  /** Places all tasks of a gang or none. */
  private placeAllOrNone(
    entry: QueuedJob,
    decisions: ScheduleDecision[],
  ): void {
    const {ledger, queue} = this.dependencies;
    const request = this.requestFor(entry);
    const held: WorkerRecord[] = [];
    while (held.length < entry.pending.length) {
      const worker = this.chooseWorker(entry, request);
      if (!worker) break;
      ledger.addHold(worker, entry.demand);
      request.spread.add(worker);
      held.push(worker);
    }
    for (const worker of held) ledger.removeHold(worker, entry.demand);
    if (held.length < entry.pending.length) return;
    for (const worker of held) {
      const record = this.reserve(entry, entry.pending[0]!, worker);
      decisions.push(toPlaceDecision(record, entry));
      queue.dropFirstTask(entry);
    }
  }

  private requestFor(entry: QueuedJob): PlacementRequest {
    const {job, demand} = entry;
    const excluded = job.excludedWorkers;
    const spread = JobSpread.create();
    if (job.taskCount > 1) {
      for (const task of this.dependencies.ledger.tasksOf(job.key)) {
        spread.add(task.worker);
      }
    }
    return {
      demand,
      spread,
      accept: worker => !excluded?.has(worker.name),
    };
  }

  private chooseWorker(
    entry: QueuedJob,
    request: PlacementRequest,
  ): WorkerRecord | undefined {
    for (const {worker} of entry.earmarks) {
      if (Vectors.fits(entry.demand, worker.available)) return worker;
    }
    const index = this.dependencies.ledger.index(entry.job.service);
    return this.dependencies.policies
      .policyOf(entry.job)
      .choose(index, request);
  }

  private reserve(
    entry: QueuedJob,
    index: number,
    worker: WorkerRecord,
  ): TaskRecord {
    const {job, demand} = entry;
    const record = this.dependencies.ledger.addTask(
      {key: job.key, index, attempt: job.attempt},
      worker,
      demand,
      job,
      this.dependencies.clock.monotonicNow(),
    );
    this.dependencies.onReserved(record);
    return record;
  }

  private earmarkCapacity(
    entry: QueuedJob,
    decisions: ScheduleDecision[],
  ): void {
    const {clock, settings} = this.dependencies;
    const now = clock.monotonicNow();
    if (entry.job.kind === 'urgent') {
      this.preempt(entry, now, () => true, decisions);
      return;
    }
    if (entry.earmarksFrom === Infinity) {
      entry.earmarksFrom = now + settings.backfillPatienceMilliseconds;
    }
    if (now < entry.earmarksFrom) return;
    this.reclaim(entry, now, decisions);
    this.earmarkBlocked(entry, now + settings.earmarkMilliseconds);
  }

  /**
   * Reclaims capacity that the job's team has lent, by preempting batch work
   * of teams that use more than their quota.
   */
  private reclaim(
    entry: QueuedJob,
    now: number,
    decisions: ScheduleDecision[],
  ): void {
    const {lending} = this.dependencies.shares;
    const {kind, team, demand} = entry.job;
    if (!lending || kind === 'gang' || entry.earmarks.length > 0) return;
    if (!lending.mayReclaim(team, demand)) return;
    const mayPreempt = (task: TaskRecord) =>
      lending.isBorrowing(task.info.team);
    const firstNew = decisions.length;
    this.preempt(entry, now, mayPreempt, decisions, 1);
    for (const decision of decisions.slice(firstNew)) {
      if (decision.type !== 'preempt') continue;
      const victim = this.dependencies.ledger.task(decision.task)!;
      victim.isReclaimed = true;
      lending.startReturn(
        victim.info.team,
        Vectors.toResources(victim.reserved),
      );
    }
  }

  private preempt(
    entry: QueuedJob,
    now: number,
    mayPreempt: (task: TaskRecord) => boolean,
    decisions: ScheduleDecision[],
    maximumEarmarks = Infinity,
  ): void {
    const {ledger, settings} = this.dependencies;
    const index = ledger.index(entry.job.service);
    const {accept} = this.requestFor(entry);
    const deadline = now + settings.preemptionGraceMilliseconds;
    const targetCount = Math.min(entry.pending.length, maximumEarmarks);
    while (entry.earmarks.length < targetCount) {
      const plan = this.planner.plan(
        index,
        entry.demand,
        accept,
        mayPreempt,
        now,
      );
      if (!plan) return;
      for (const victim of plan.victims) {
        ledger.markPreempting(victim);
        decisions.push({
          type: 'preempt',
          task: victim.identity,
          worker: plan.worker.name,
          group: plan.worker.group,
          onBehalfOf: entry.job.key,
        });
      }
      this.addEarmark(entry, plan.worker, deadline);
    }
  }

  private earmarkBlocked(entry: QueuedJob, deadline: number): void {
    const index = this.dependencies.ledger.index(entry.job.service);
    const needed = entry.pending.length - entry.earmarks.length;
    const allowed = this.allowedEarmarks(entry, index);
    const {accept} = this.requestFor(entry);
    for (let made = 0; made < Math.min(needed, allowed); made++) {
      const worker = findNearestFit(index, entry, accept);
      if (!worker) return;
      this.addEarmark(entry, worker, deadline);
    }
  }

  /**
   * A gang may earmark capacity for all its tasks when the service has no
   * earmarks yet, because it cannot start with only a part of its tasks.
   */
  private allowedEarmarks(entry: QueuedJob, index: ServiceIndex): number {
    const {earmarkedShare} = this.dependencies.settings;
    const current = this.earmarkCounts.get(entry.job.service) ?? 0;
    if (entry.job.kind === 'gang' && current === 0) return entry.pending.length;
    const limit = Math.max(1, Math.floor(index.size * earmarkedShare));
    return limit - current;
  }

  private addEarmark(
    entry: QueuedJob,
    worker: WorkerRecord,
    deadline: number,
  ): void {
    this.dependencies.ledger.addEarmark(worker, entry.demand);
    entry.earmarks.push({worker, deadline});
    this.adjustEarmarkCount(entry, 1);
  }

  private dropEarmark(entry: QueuedJob, earmark: Earmark): void {
    this.dependencies.ledger.removeEarmark(earmark.worker, entry.demand);
    this.dependencies.ledger.recordFreed(earmark.worker);
    this.adjustEarmarkCount(entry, -1);
  }

  private dropExpiredEarmarks(entry: QueuedJob): void {
    if (entry.earmarks.length === 0) return;
    const now = this.dependencies.clock.monotonicNow();
    const kept: Earmark[] = [];
    for (const earmark of entry.earmarks) {
      const isValid = earmark.deadline > now && earmark.worker.isPlaceable;
      if (isValid) kept.push(earmark);
      else this.dropEarmark(entry, earmark);
    }
    entry.earmarks = kept;
  }

  /** Makes the capacity that is set aside for a job available to it. */
  private suspendEarmarks(entry: QueuedJob): void {
    for (const {worker} of entry.earmarks) {
      this.dependencies.ledger.removeEarmark(worker, entry.demand);
    }
  }

  /** Reapplies the earmarks, at most one for each waiting task. */
  private restoreEarmarks(entry: QueuedJob): void {
    const waiting = entry.isQueued ? entry.pending.length : 0;
    for (const surplus of entry.earmarks.splice(waiting)) {
      this.dependencies.ledger.recordFreed(surplus.worker);
      this.adjustEarmarkCount(entry, -1);
    }
    for (const {worker} of entry.earmarks) {
      this.dependencies.ledger.addEarmark(worker, entry.demand);
    }
  }

  /** Removes the job's earmark on the chosen worker, if there is one. */
  private consumeEarmark(entry: QueuedJob, worker: WorkerRecord): void {
    const position = entry.earmarks.findIndex(e => e.worker === worker);
    if (position < 0) return;
    entry.earmarks.splice(position, 1);
    this.adjustEarmarkCount(entry, -1);
  }

  private adjustEarmarkCount(entry: QueuedJob, difference: number): void {
    const {service} = entry.job;
    const current = this.earmarkCounts.get(service) ?? 0;
    this.earmarkCounts.set(service, current + difference);
  }
}

function toPlaceDecision(
  record: TaskRecord,
  entry: QueuedJob,
): ScheduleDecision {
  return {
    type: 'place',
    task: record.identity,
    worker: record.worker.name,
    group: record.worker.group,
    job: entry.job,
  };
}

/**
 * Among the workers that can eventually fit the demand, the one with the
 * smallest shortfall relative to its usable capacity.
 */
function findNearestFit(
  index: ServiceIndex,
  entry: QueuedJob,
  accept: (worker: WorkerRecord) => boolean,
): WorkerRecord | undefined {
  let nearest: WorkerRecord | undefined;
  let lowestShare = Infinity;
  for (const worker of index.workers()) {
    if (!canEventuallyFit(worker, entry) || !accept(worker)) continue;
    const shortfall = entry.demand.map((a, d) => a - worker.available[d]!);
    const share = Vectors.dominantShare(shortfall, worker.usable);
    if (share >= lowestShare) continue;
    nearest = worker;
    lowestShare = share;
  }
  return nearest;
}

/** Reservations of services are excluded because services do not end. */
function canEventuallyFit(worker: WorkerRecord, entry: QueuedJob): boolean {
  return entry.demand.every(
    (amount, d) =>
      amount <=
      worker.usable[d]! - worker.serviceReserved[d]! - worker.earmarked[d]!,
  );
}
