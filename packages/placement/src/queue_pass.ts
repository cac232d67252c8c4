import type {Clock} from '@cardamomfield/clock';
import type {WorkKind} from '@cardamomfield/types';
import {expiryOf} from './expiry_of.js';
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
  /** Capacity version of the lane's service when the pass began. */
  version: number;
  share: number;
  blocked: QueuedJob[];
  isFinished: boolean;
}

/** A job in the window of batch jobs. */
interface WindowEntry {
  entry: QueuedJob;
  visit: LaneVisit;
}

/**
 * Goes through the waiting jobs of a class: the lane whose team has the
 * smallest share first, and within a lane by deadline. It looks past a
 * bounded number of blocked jobs.
 */
export class QueuePass {
  private constructor(private readonly parts: Dependencies) {}

  static create(parts: Dependencies): QueuePass {
    return new QueuePass(parts);
  }

  /** Adds decisions until there are `limit` of them or no job fits. */
  run(kind: WorkKind, limit: number, decisions: ScheduleDecision[]): void {
    const visits = this.startVisits(kind);
    const {batchWindow} = this.parts.settings;
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
      const visit = leastShare(visits);
      if (!visit || !this.hasHeadroom(visit)) return;
      const entry = visit.lane.take();
      if (!entry) {
        visit.isFinished = true;
        continue;
      }
      const room = limit - decisions.length;
      this.attempt(entry, visit, visits, room, decisions);
    }
  }

  /**
   * Keeps a window of the first waiting jobs and places the one whose demand
   * is most like what is free, so that no resource runs out before others.
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
      const place = mostBalanced(window);
      if (place < 0) return;
      if (!this.hasHeadroom(window[place]!.visit)) break;
      const [{entry, visit}] = window.splice(place, 1) as [WindowEntry];
      const room = limit - decisions.length;
      this.attempt(entry, visit, visits, room, decisions);
    }
    for (const {entry, visit} of window) visit.blocked.push(entry);
    for (const {visit} of window) visit.isFinished = false;
  }

  /** Batch work leaves a part of every resource to other classes. */
  private hasHeadroom(visit: LaneVisit): boolean {
    const {batchHeadroom} = this.parts.settings;
    if (visit.lane.kind !== 'batch' || batchHeadroom === 0) return true;
    const {available, total} = visit.index;
    return total.every(
      (amount, d) => amount === 0 || available[d]! >= batchHeadroom * amount,
    );
  }

  /** Takes one job of each lane in turn, in the order of the shares. */
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

  /** Skips lanes whose blocked jobs cannot have become placeable. */
  private startVisits(kind: WorkKind): LaneVisit[] {
    const {clock, ledger, queue, shares} = this.parts;
    const now = clock.monotonicNow();
    const visits: LaneVisit[] = [];
    for (const lane of queue.lanesOf(kind)) {
      if (lane.live === 0) continue;
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
    const {clock, placer, queue} = this.parts;
    if (entry.job.deadline <= clock.wallNow()) {
      queue.remove(entry);
      placer.dropEarmarks(entry);
      decisions.push(expiryOf(entry));
      return;
    }
    const before = decisions.length;
    if (this.isStillBlocked(entry, visit)) {
      this.noteBlocked(entry, visit);
      return;
    }
    placer.attempt(entry, limit, decisions);
    if (decisions.length > before) this.refreshShares(visit.lane.team, visits);
    if (!entry.isQueued) return;
    if (decisions.length - before < limit) {
      this.noteBlocked(entry, visit);
      return;
    }
    entry.blockedAtVersion = -1;
    visit.blocked.push(entry);
  }

  /** Whether nothing has changed that could let a blocked job start. */
  private isStillBlocked(entry: QueuedJob, visit: LaneVisit): boolean {
    if (entry.blockedAtVersion < 0) return false;
    const now = this.parts.clock.monotonicNow();
    const isDue = entry.earmarks.length < entry.pending.length;
    const isUrgent = entry.job.kind === 'urgent';
    if (isDue && (isUrgent || entry.reservationDeadline <= now)) return false;
    if (canUseEarmark(entry, now)) return false;
    return !visit.index.mayFitSince(entry.blockedAtVersion, entry.demand);
  }

  private noteBlocked(entry: QueuedJob, visit: LaneVisit): void {
    const {backfillDepth} = this.parts.settings;
    entry.blockedAtVersion = visit.version;
    visit.blocked.push(entry);
    if (visit.blocked.length >= backfillDepth) visit.isFinished = true;
  }

  private refreshShares(team: string, visits: LaneVisit[]): void {
    const share = this.parts.shares.shareOf(team);
    for (const visit of visits) {
      if (visit.lane.team === team) visit.share = share;
    }
  }

  private endVisit(visit: LaneVisit): void {
    const {lane, blocked} = visit;
    blocked.sort(compareQueued);
    lane.putBack(blocked);
    lane.recheckAt = Infinity;
    lane.leastDemand = [];
    lane.earmarked = [];
    for (const entry of blocked) {
      const recheckAt = this.parts.placer.recheckAt(entry);
      lane.recheckAt = Math.min(lane.recheckAt, recheckAt);
      if (!entry.isQueued) continue;
      if (entry.earmarks.length > 0) lane.earmarked.push(entry);
      else lowerDemand(lane, entry.demand);
    }
    lane.blockedAtVersion = visit.isFinished ? visit.version : -1;
  }
}

/** Whether any job of a lane may have become placeable since its last visit. */
function mayFit(lane: JobLane, index: ServiceIndex, now: number): boolean {
  const version = lane.blockedAtVersion;
  if (version < 0) return true;
  if (index.version === version) return false;
  if (lane.leastDemand.length > 0) {
    if (index.mayFitSince(version, lane.leastDemand)) return true;
  }
  return lane.earmarked.some(
    entry =>
      entry.isQueued &&
      (canUseEarmark(entry, now) || index.mayFitSince(version, entry.demand)),
  );
}

/** Whether a job fits on capacity that is kept for it, or must give it up. */
function canUseEarmark(entry: QueuedJob, now: number): boolean {
  return entry.earmarks.some(
    ({worker, deadline}) =>
      deadline <= now ||
      !worker.isPlaceable ||
      worker.fitsEarmarked(entry.demand),
  );
}

function lowerDemand(lane: JobLane, demand: Vector): void {
  const {leastDemand} = lane;
  lane.leastDemand = demand.map((amount, d) =>
    Math.min(amount, leastDemand[d] ?? Infinity),
  );
}

function compareQueued(a: QueuedJob, b: QueuedJob): number {
  return a.job.deadline - b.job.deadline || a.sequence - b.sequence;
}

function leastShare(visits: LaneVisit[]): LaneVisit | undefined {
  let least: LaneVisit | undefined;
  for (const visit of visits) {
    if (visit.isFinished) continue;
    if (!least || visit.share < least.share) least = visit;
  }
  return least;
}

/** Place of the job whose demand points most nearly the way of what is free. */
function mostBalanced(window: WindowEntry[]): number {
  let best = -1;
  let highest = -Infinity;
  for (const [place, {entry, visit}] of window.entries()) {
    const value = likeness(entry.demand, visit.index);
    if (value <= highest) continue;
    best = place;
    highest = value;
  }
  return best;
}

/** Cosine of the angle between the demand and what is available. */
function likeness(demand: Vector, index: ServiceIndex): number {
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
