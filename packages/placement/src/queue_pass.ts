import type {Clock} from '@cardamomfield/clock';
import type {WorkKind} from '@cardamomfield/types';
import {toExpireDecision} from './to_expire_decision.js';
import type {JobLane} from './job_lane.js';
import type {JobPlacer} from './job_placer.js';
import type {JobQueue} from './job_queue.js';
import type {QueuedJob} from './queued_job.js';
import type {ReservationLedger} from './reservation_ledger.js';
import type {ScheduleDecision} from './schedule_decision.js';
import type {SchedulerSettings} from './scheduler_settings.js';
import type {ServiceIndex} from './service_index.js';
import type {TeamShares} from './team_shares.js';
import type {Vector} from './vector.js';

interface Dependencies {
  clock: Clock;
  ledger: ReservationLedger;
  queue: JobQueue;
  placer: JobPlacer;
  shares: TeamShares;
  settings: SchedulerSettings;
}

/** State of one lane during a pass. */
interface LaneVisit {
  lane: JobLane;
  index: ServiceIndex;
  /** Version of the service's index when the pass began. */
  version: number;
  share: number;
  /** Entries to put back into the lane: blocked ones and untried ones. */
  blocked: QueuedJob[];
  isFinished: boolean;
}

interface WindowEntry {
  entry: QueuedJob;
  visit: LaneVisit;
}

/**
 * Tries to place the waiting jobs of a class: first those of the lane whose
 * team has the smallest share, and within a lane by deadline. In each lane it
 * skips a limited number of blocked jobs.
 */
export class QueuePass {
  private constructor(private readonly dependencies: Dependencies) {}

  static create(dependencies: Dependencies): QueuePass {
    return new QueuePass(dependencies);
  }

  /**
   * Adds decisions until the list has `limit` entries or no further job can be
   * placed.
   */
  run(kind: WorkKind, limit: number, decisions: ScheduleDecision[]): void {
    const visits = this.startVisits(kind);
    const {batchWindow} = this.dependencies.settings;
    if (kind === 'batch' && batchWindow > 0) {
      this.runWindow(visits, batchWindow, limit, decisions);
    } else {
      this.runInOrder(visits, limit, decisions);
    }
    for (const visit of visits) this.endVisit(visit);
  }

  private runInOrder(
    visits: LaneVisit[],
    limit: number,
    decisions: ScheduleDecision[],
  ): void {
    while (decisions.length < limit) {
      const visit = findLeastShare(visits);
      if (!visit || !this.hasHeadroom(visit)) return;
      const entry = visit.lane.take();
      if (!entry) {
        visit.isFinished = true;
        continue;
      }
      const remaining = limit - decisions.length;
      this.attempt(entry, visit, visits, remaining, decisions);
    }
  }

  /**
   * Keeps a window of the first waiting jobs and places the one whose demand
   * is most similar in direction to the available capacity, so that no
   * resource runs out before the others.
   */
  private runWindow(
    visits: LaneVisit[],
    size: number,
    limit: number,
    decisions: ScheduleDecision[],
  ): void {
    const window: WindowEntry[] = [];
    while (decisions.length < limit) {
      this.fillWindow(window, visits, size);
      const position = findMostBalanced(window);
      if (position < 0) return;
      if (!this.hasHeadroom(window[position]!.visit)) break;
      const [{entry, visit}] = window.splice(position, 1) as [WindowEntry];
      const remaining = limit - decisions.length;
      this.attempt(entry, visit, visits, remaining, decisions);
    }
    for (const {entry, visit} of window) visit.blocked.push(entry);
    for (const {visit} of window) visit.isFinished = false;
  }

  /** Batch work leaves a part of every resource free for other classes. */
  private hasHeadroom(visit: LaneVisit): boolean {
    const {batchHeadroom} = this.dependencies.settings;
    if (visit.lane.kind !== 'batch' || batchHeadroom === 0) return true;
    const {available, total} = visit.index;
    return total.every(
      (amount, d) => amount === 0 || available[d]! >= batchHeadroom * amount,
    );
  }

  /** Takes one job of each lane in turn, lowest team share first. */
  private fillWindow(
    window: WindowEntry[],
    visits: LaneVisit[],
    size: number,
  ): void {
    while (window.length < size) {
      const open = visits.filter(visit => !visit.isFinished);
      if (open.length === 0) return;
      open.sort((a, b) => a.share - b.share);
      for (const visit of open) {
        if (window.length >= size) return;
        const entry = visit.lane.take();
        if (!entry) {
          visit.isFinished = true;
          continue;
        }
        window.push({entry, visit});
      }
    }
  }

  /** Skips lanes whose jobs are all blocked and still cannot fit. */
  private startVisits(kind: WorkKind): LaneVisit[] {
    const {clock, ledger, queue, shares} = this.dependencies;
    const now = clock.monotonicNow();
    const visits: LaneVisit[] = [];
    for (const lane of queue.lanesOf(kind)) {
      if (lane.waitingCount === 0) continue;
      const index = ledger.index(lane.service);
      if (lane.recheckAt > now && !mayFit(lane, index, now)) continue;
      const {version} = index;
      const share = shares.shareOf(lane.team);
      visits.push({
        lane,
        index,
        version,
        share,
        blocked: [],
        isFinished: false,
      });
    }
    return visits;
  }

  private attempt(
    entry: QueuedJob,
    visit: LaneVisit,
    visits: LaneVisit[],
    limit: number,
    decisions: ScheduleDecision[],
  ): void {
    const {clock, placer, queue} = this.dependencies;
    if (entry.job.deadline <= clock.wallNow()) {
      queue.remove(entry);
      placer.dropEarmarks(entry);
      decisions.push(toExpireDecision(entry));
      return;
    }
    const before = decisions.length;
    if (this.isStillBlocked(entry, visit)) {
      this.markBlocked(entry, visit);
      return;
    }
    placer.attempt(entry, limit, decisions);
    if (decisions.length > before) this.refreshShares(visit.lane.team, visits);
    if (!entry.isQueued) return;
    if (decisions.length - before < limit) {
      this.markBlocked(entry, visit);
      return;
    }
    entry.blockedAtVersion = -1;
    visit.blocked.push(entry);
  }

  /** Whether the job was blocked and no change since could let it start. */
  private isStillBlocked(entry: QueuedJob, visit: LaneVisit): boolean {
    if (entry.blockedAtVersion < 0) return false;
    const now = this.dependencies.clock.monotonicNow();
    const lacksEarmarks = entry.earmarks.length < entry.pending.length;
    const isUrgent = entry.job.kind === 'urgent';
    if (lacksEarmarks && (isUrgent || entry.earmarksFrom <= now)) return false;
    if (canUseEarmark(entry, now)) return false;
    return !visit.index.mayFitSince(entry.blockedAtVersion, entry.demand);
  }

  private markBlocked(entry: QueuedJob, visit: LaneVisit): void {
    const {backfillDepth} = this.dependencies.settings;
    entry.blockedAtVersion = visit.version;
    visit.blocked.push(entry);
    if (visit.blocked.length >= backfillDepth) visit.isFinished = true;
  }

  private refreshShares(team: string, visits: LaneVisit[]): void {
    const share = this.dependencies.shares.shareOf(team);
    for (const visit of visits) {
      if (visit.lane.team === team) visit.share = share;
    }
  }

  private endVisit(visit: LaneVisit): void {
    const {lane, blocked} = visit;
    blocked.sort(compareQueued);
    lane.requeueBlocked(blocked);
    lane.recheckAt = Infinity;
    lane.minimumDemand = [];
    lane.earmarked = [];
    for (const entry of blocked) {
      const recheckAt = this.dependencies.placer.recheckAt(entry);
      lane.recheckAt = Math.min(lane.recheckAt, recheckAt);
      if (!entry.isQueued) continue;
      if (entry.earmarks.length > 0) lane.earmarked.push(entry);
      else lowerMinimumDemand(lane, entry.demand);
    }
    lane.blockedAtVersion = visit.isFinished ? visit.version : -1;
  }
}

/** Whether a job that the lane's last pass found blocked may fit now. */
function mayFit(lane: JobLane, index: ServiceIndex, now: number): boolean {
  const version = lane.blockedAtVersion;
  if (version < 0) return true;
  if (index.version === version) return false;
  if (lane.minimumDemand.length > 0) {
    if (index.mayFitSince(version, lane.minimumDemand)) return true;
  }
  return lane.earmarked.some(
    entry =>
      entry.isQueued &&
      (canUseEarmark(entry, now) || index.mayFitSince(version, entry.demand)),
  );
}

/** Whether a job fits on one of its earmarks, or must release one. */
function canUseEarmark(entry: QueuedJob, now: number): boolean {
  return entry.earmarks.some(
    ({worker, deadline}) =>
      deadline <= now ||
      !worker.isPlaceable ||
      worker.fitsEarmarked(entry.demand),
  );
}

function lowerMinimumDemand(lane: JobLane, demand: Vector): void {
  const {minimumDemand} = lane;
  lane.minimumDemand = demand.map((amount, d) =>
    Math.min(amount, minimumDemand[d] ?? Infinity),
  );
}

function compareQueued(a: QueuedJob, b: QueuedJob): number {
  return a.job.deadline - b.job.deadline || a.sequence - b.sequence;
}

function findLeastShare(visits: LaneVisit[]): LaneVisit | undefined {
  let least: LaneVisit | undefined;
  for (const visit of visits) {
    if (visit.isFinished) continue;
    if (!least || visit.share < least.share) least = visit;
  }
  return least;
}

/**
 * Position in the window of the job whose demand is most similar in direction
 * to the available capacity; -1 when the window is empty.
 */
function findMostBalanced(window: WindowEntry[]): number {
  let best = -1;
  let highest = -Infinity;
  for (const [position, {entry, visit}] of window.entries()) {
    const value = projection(entry.demand, visit.index);
    if (value <= highest) continue;
    best = position;
    highest = value;
  }
  return best;
}

/**
 * Projection of the available capacity onto the direction of the demand. For
 * jobs of one service this ranks by the cosine of the angle between them.
 */
function projection(demand: Vector, index: ServiceIndex): number {
  let product = 0;
  let length = 0;
  for (let d = 0; d < demand.length; d++) {
    const total = index.total[d]!;
    if (total <= 0) continue;
    const share = demand[d]! / total;
    product += (share * index.available[d]!) / total;
    length += share * share;
  }
  return length > 0 ? product / Math.sqrt(length) : 0;
}
