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
import type {TeamShares} from './team_shares.js';

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
  /** Capacity version of the lane's service when the pass began. */
  version: number;
  share: number;
  blocked: QueuedJob[];
  isFinished: boolean;
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
    while (decisions.length < limit) {
      const visit = leastShare(visits);
      if (!visit) break;
      this.attemptNext(visit, visits, limit - decisions.length, decisions);
    }
    for (const visit of visits) this.endVisit(visit);
  }

  /** Skips lanes whose blocked jobs cannot have become placeable. */
  private startVisits(kind: WorkKind): LaneVisit[] {
    const {clock, ledger, queue, shares} = this.parts;
    const now = clock.monotonicNow();
    const visits: LaneVisit[] = [];
    for (const lane of queue.lanesOf(kind)) {
      const {version} = ledger.index(lane.service);
      const isUnchanged = lane.blockedAtVersion === version;
      if (isUnchanged && lane.recheckAt > now) continue;
      const share = shares.shareOf(lane.team);
      visits.push({lane, version, share, blocked: [], isFinished: false});
    }
    return visits;
  }

  private attemptNext(
    visit: LaneVisit,
    visits: LaneVisit[],
    limit: number,
    decisions: ScheduleDecision[],
  ): void {
    const {clock, placer, queue, settings} = this.parts;
    const entry = visit.lane.take();
    if (!entry) {
      visit.isFinished = true;
      return;
    }
    if (entry.job.deadline <= clock.wallNow()) {
      queue.remove(entry);
      placer.dropEarmarks(entry);
      decisions.push(expiryOf(entry));
      return;
    }
    const before = decisions.length;
    placer.attempt(entry, limit, decisions);
    if (decisions.length > before) this.refreshShares(visit.lane.team, visits);
    if (!entry.isQueued) return;
    visit.blocked.push(entry);
    if (decisions.length - before >= limit) return;
    if (visit.blocked.length >= settings.backfillDepth) visit.isFinished = true;
  }

  private refreshShares(team: string, visits: LaneVisit[]): void {
    const share = this.parts.shares.shareOf(team);
    for (const visit of visits) {
      if (visit.lane.team === team) visit.share = share;
    }
  }

  private endVisit(visit: LaneVisit): void {
    const {lane} = visit;
    lane.recheckAt = Infinity;
    for (const entry of visit.blocked) {
      lane.putBack(entry);
      const recheckAt = this.parts.placer.recheckAt(entry);
      lane.recheckAt = Math.min(lane.recheckAt, recheckAt);
    }
    lane.blockedAtVersion = visit.isFinished ? visit.version : -1;
  }
}

function leastShare(visits: LaneVisit[]): LaneVisit | undefined {
  let least: LaneVisit | undefined;
  for (const visit of visits) {
    if (visit.isFinished) continue;
    if (!least || visit.share < least.share) least = visit;
  }
  return least;
}
