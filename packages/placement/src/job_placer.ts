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

/** Batch work that starts meanwhile may be preempted, so it is looked for. */
const URGENT_RETRY_MILLISECONDS = 100;

interface Dependencies {
  clock: Clock;
  random: RandomSource;
  ledger: ReservationLedger;
  queue: JobQueue;
  policies: PolicySet;
  settings: SchedulerSettings;
  shares: TeamShares;
  /** Called for every reservation that is made. */
  onReserved: (record: TaskRecord) => void;
}

/**
 * Places the tasks of one job at a time, and keeps capacity for a job that
 * is blocked: at once for urgent work, by naming batch tasks to preempt, and
 * for other work from its reservation deadline on.
 */
export class JobPlacer {
  private readonly planner: PreemptionPlanner;
  /** Number of workers with earmarks of blocked jobs, by service. */
  private readonly earmarkCounts = new Map<string, number>();

  private constructor(private readonly parts: Dependencies) {
    this.planner = PreemptionPlanner.create(parts.random);
  }

  static create(parts: Dependencies): JobPlacer {
    return new JobPlacer(parts);
  }

  /** Places what fits, up to `limit` tasks, and earmarks for the rest. */
  attempt(
    entry: QueuedJob,
    limit: number,
    decisions: ScheduleDecision[],
  ): void {
    this.dropLapsedEarmarks(entry);
    this.liftEarmarks(entry);
    const end = decisions.length + limit;
    if (entry.job.kind === 'gang') this.placeWhole(entry, decisions);
    else this.placeEach(entry, end, decisions);
    this.restoreEarmarks(entry);
    if (!entry.isQueued || decisions.length >= end) return;
    this.keepCapacity(entry, decisions);
  }

  /** Gives up the capacity that is kept for a job. */
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
    const isWanting = entry.earmarks.length < entry.pending.length;
    if (entry.job.kind === 'urgent' && isWanting) {
      const {clock} = this.parts;
      return Math.min(
        recheckAt,
        clock.monotonicNow() + URGENT_RETRY_MILLISECONDS,
      );
    }
    if (entry.reservationDeadline > this.parts.clock.monotonicNow()) {
      recheckAt = Math.min(recheckAt, entry.reservationDeadline);
    }
    return recheckAt;
  }

  private placeEach(
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
      decisions.push(placement(record, entry));
      this.parts.queue.dropFirstTask(entry);
    }
  }

  /** Places all tasks of a gang or none. */
  private placeWhole(entry: QueuedJob, decisions: ScheduleDecision[]): void {
    const {ledger, queue} = this.parts;
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
      decisions.push(placement(record, entry));
      queue.dropFirstTask(entry);
    }
  }

  private requestFor(entry: QueuedJob): PlacementRequest {
    const {job, demand} = entry;
    const excluded = job.excludedWorkers;
    const spread = JobSpread.create();
    if (job.taskCount > 1) {
      for (const task of this.parts.ledger.tasksOf(job.key)) {
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
    const index = this.parts.ledger.index(entry.job.service);
    return this.parts.policies.policyOf(entry.job).choose(index, request);
  }

  private reserve(
    entry: QueuedJob,
    index: number,
    worker: WorkerRecord,
  ): TaskRecord {
    const {job, demand} = entry;
    const record = this.parts.ledger.addTask(
      {key: job.key, index, attempt: job.attempt},
      worker,
      demand,
      job,
      this.parts.clock.monotonicNow(),
    );
    this.parts.onReserved(record);
    return record;
  }

  private keepCapacity(entry: QueuedJob, decisions: ScheduleDecision[]): void {
    const {clock, settings} = this.parts;
    const now = clock.monotonicNow();
    if (entry.job.kind === 'urgent') {
      this.preempt(entry, now, () => true, decisions);
      return;
    }
    if (entry.reservationDeadline === Infinity) {
      entry.reservationDeadline = now + settings.backfillPatienceMilliseconds;
    }
    if (now < entry.reservationDeadline) return;
    this.reclaim(entry, now, decisions);
    this.earmarkBlocked(entry, now + settings.earmarkMilliseconds);
  }

  /** Takes back what the team has lent, from batch work of borrowers. */
  private reclaim(
    entry: QueuedJob,
    now: number,
    decisions: ScheduleDecision[],
  ): void {
    const {lending} = this.parts.shares;
    const {kind, team, demand} = entry.job;
    if (!lending || kind === 'gang' || entry.earmarks.length > 0) return;
    if (!lending.mayReclaim(team, demand)) return;
    const mayEnd = (task: TaskRecord) => lending.isBorrowing(task.info.team);
    const first = decisions.length;
    this.preempt(entry, now, mayEnd, decisions, 1);
    for (const decision of decisions.slice(first)) {
      if (decision.type !== 'preempt') continue;
      const victim = this.parts.ledger.task(decision.task)!;
      victim.isReturning = true;
      lending.startReturn(
        victim.info.team,
        Vectors.toResources(victim.reserved),
      );
    }
  }

  private preempt(
    entry: QueuedJob,
    now: number,
    mayEnd: (task: TaskRecord) => boolean,
    decisions: ScheduleDecision[],
    most = Infinity,
  ): void {
    const {ledger, settings} = this.parts;
    const index = ledger.index(entry.job.service);
    const {accept} = this.requestFor(entry);
    const deadline = now + settings.preemptionGraceMilliseconds;
    const wanted = Math.min(entry.pending.length, most);
    while (entry.earmarks.length < wanted) {
      const plan = this.planner.plan(index, entry.demand, accept, mayEnd, now);
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
    const index = this.parts.ledger.index(entry.job.service);
    const needed = entry.pending.length - entry.earmarks.length;
    const allowed = this.allowedEarmarks(entry, index);
    const {accept} = this.requestFor(entry);
    for (let made = 0; made < Math.min(needed, allowed); made++) {
      const worker = nearestToFitting(index, entry, accept);
      if (!worker) return;
      this.addEarmark(entry, worker, deadline);
    }
  }

  /** A gang gets all it needs when it is the only one, as part is no use. */
  private allowedEarmarks(entry: QueuedJob, index: ServiceIndex): number {
    const {earmarkedShare} = this.parts.settings;
    const present = this.earmarkCounts.get(entry.job.service) ?? 0;
    if (entry.job.kind === 'gang' && present === 0) return entry.pending.length;
    const limit = Math.max(1, Math.floor(index.size * earmarkedShare));
    return limit - present;
  }

  private addEarmark(
    entry: QueuedJob,
    worker: WorkerRecord,
    deadline: number,
  ): void {
    this.parts.ledger.addEarmark(worker, entry.demand);
    entry.earmarks.push({worker, deadline});
    this.countEarmarks(entry, 1);
  }

  private dropEarmark(entry: QueuedJob, earmark: Earmark): void {
    this.parts.ledger.removeEarmark(earmark.worker, entry.demand);
    this.parts.ledger.announceFreed(earmark.worker);
    this.countEarmarks(entry, -1);
  }

  private dropLapsedEarmarks(entry: QueuedJob): void {
    if (entry.earmarks.length === 0) return;
    const now = this.parts.clock.monotonicNow();
    const kept: Earmark[] = [];
    for (const earmark of entry.earmarks) {
      const isLive = earmark.deadline > now && earmark.worker.isPlaceable;
      if (isLive) kept.push(earmark);
      else this.dropEarmark(entry, earmark);
    }
    entry.earmarks = kept;
  }

  /** Lets the job itself use the capacity that is kept for it. */
  private liftEarmarks(entry: QueuedJob): void {
    for (const {worker} of entry.earmarks) {
      this.parts.ledger.removeEarmark(worker, entry.demand);
    }
  }

  /** Keeps only as many earmarks as there are waiting tasks. */
  private restoreEarmarks(entry: QueuedJob): void {
    const waiting = entry.isQueued ? entry.pending.length : 0;
    for (const surplus of entry.earmarks.splice(waiting)) {
      this.parts.ledger.announceFreed(surplus.worker);
      this.countEarmarks(entry, -1);
    }
    for (const {worker} of entry.earmarks) {
      this.parts.ledger.addEarmark(worker, entry.demand);
    }
  }

  /** Uses up the earmark of a worker that was chosen, if there is one. */
  private consumeEarmark(entry: QueuedJob, worker: WorkerRecord): void {
    const place = entry.earmarks.findIndex(e => e.worker === worker);
    if (place < 0) return;
    entry.earmarks.splice(place, 1);
    this.countEarmarks(entry, -1);
  }

  private countEarmarks(entry: QueuedJob, difference: number): void {
    const {service} = entry.job;
    const present = this.earmarkCounts.get(service) ?? 0;
    this.earmarkCounts.set(service, present + difference);
  }
}

function placement(record: TaskRecord, entry: QueuedJob): ScheduleDecision {
  return {
    type: 'place',
    task: record.identity,
    worker: record.worker.name,
    group: record.worker.group,
    job: entry.job,
  };
}

/** The worker that lacks the least for the job and can come to hold it. */
function nearestToFitting(
  index: ServiceIndex,
  entry: QueuedJob,
  accept: (worker: WorkerRecord) => boolean,
): WorkerRecord | undefined {
  let nearest: WorkerRecord | undefined;
  let leastMissing = Infinity;
  for (const worker of index.workers()) {
    if (!canComeToFit(worker, entry) || !accept(worker)) continue;
    const missing = entry.demand.map((a, d) => a - worker.available[d]!);
    const share = Vectors.dominantShare(missing, worker.usable);
    if (share >= leastMissing) continue;
    nearest = worker;
    leastMissing = share;
  }
  return nearest;
}

/** Services never end, so what they reserve is not waited for. */
function canComeToFit(worker: WorkerRecord, entry: QueuedJob): boolean {
  return entry.demand.every(
    (amount, d) =>
      amount <= worker.usable[d]! - worker.lasting[d]! - worker.earmarked[d]!,
  );
}
