import {DecayingSum} from './decaying_sum.js';
import type {Run} from './run.js';
import {StepOutcomes} from './step_outcomes.js';
import type {StepState} from './step_state.js';
import {WorkerEvidence} from './worker_evidence.js';
import type {WorkerState} from './worker_state.js';

/** Interval between two evaluations of all workers. */
const REFRESH_MILLISECONDS = 100;

/**
 * Slowdowns below this count as the norm: run times of one step vary by half on
 * even workers.
 */
const MINIMUM_SLOWDOWN = 1.5;

/**
 * A slow worker counts as slow until it falls below this slowdown. It gets few
 * runs, so the evidence of them decays long before it has recovered.
 */
const RECOVERED_SLOWDOWN = 1.2;

/**
 * Shares of failures above the norm that are less than this count as none. One
 * failure on a worker without other runs stays below it.
 */
const MINIMUM_FAILURE_SHARE = 0.2;

/** Above this share a failure makes a worker count as failing. */
const FAILING_SHARE = 0.25;

/** Longest share of failures that an expected time is computed from. */
const MAXIMUM_FAILURE_SHARE = 0.9;

/** Decayed number of losses below which a worker counts as steady. */
const MINIMUM_LOSSES = 0.3;

/** A run under way counts once it takes this many times its expectation. */
const LATE_FACTOR = 2;

/** The same if the expectation is the estimate, which is off by half. */
const LATE_FACTOR_BY_ESTIMATE = 3;

/** Progress from which the remaining run time is computed, in percent. */
const MINIMUM_PROGRESS_PERCENT = 10;

/** Delay of the next probe after the first failed one; doubles with each. */
const FIRST_PROBE_DELAY_MILLISECONDS = 250;

/**
 * Longest such delay. Waiting work must not starve for 3 s beside a worker that
 * is the only one with room.
 */
const MAXIMUM_PROBE_DELAY_MILLISECONDS = 2_000;

/** Evidence about a worker that has not been listed for this long is dropped. */
const KEEP_UNSEEN_MILLISECONDS = 60_000;

/** The workers of a service and what is known about some of them. */
interface ServiceGroup {
  evidence: WorkerEvidence[];
  workerCount: number;
}

/**
 * Learns from runs which workers are slow, fail or are lost often, and judges
 * every worker in comparison with the others of its service. Health reports
 * play no part. A new owner starts without knowledge.
 */
export class WorkerPerformance {
  private readonly evidenceByWorker = new Map<string, WorkerEvidence>();
  private readonly outcomesByStep = new WeakMap<StepState, StepOutcomes>();
  /** Normal share of failures, by service, as of the last evaluation. */
  private readonly normalFailureShares = new Map<string, number>();
  private refreshAt = -Infinity;

  private constructor(private readonly workers: Map<string, WorkerState>) {}

  /** Judges the given workers, by ID; the map may change at any time. */
  static create(workers: Map<string, WorkerState>): WorkerPerformance {
    return new WorkerPerformance(workers);
  }

  /** Expected factor on the run times of a worker; 1 is the norm. */
  slowdownOf(worker: WorkerState): number {
    return worker.judgement.slowdown;
  }

  /**
   * Expected run time of a task of the step on a worker like the others, near
   * its data: the estimate, corrected by the runs that have ended. Far runs take
   * `farPlacePenalty` times as long.
   */
  expectedMilliseconds(step: StepState, farPlacePenalty: number): number {
    const {estimatedMilliseconds} = step.specification;
    const measured = this.outcomesByStep.get(step)?.measured(farPlacePenalty);
    if (!measured) return estimatedMilliseconds;
    if (estimatedMilliseconds <= 0) return measured.milliseconds;
    return (
      measured.weight * measured.milliseconds +
      (1 - measured.weight) * estimatedMilliseconds
    );
  }

  /** Records a run that its worker reported as done or failed. */
  noteEnd(run: Run, kind: 'done' | 'failed', now: number): void {
    const evidence = this.evidenceOf(run.workerId, now);
    const outcomes = this.outcomesOf(run.step);
    if (kind === 'failed') {
      outcomes.noteFailure(run.workerId);
      evidence.noteFailure(outcomes, now);
      this.judgeFailure(evidence, run, now);
      return;
    }
    this.noteTime(evidence, outcomes, run, now);
    outcomes.noteDone();
    evidence.noteSuccess(now);
    if (evidence.judgement.isProbe(run)) endFailing(evidence);
  }

  /** Records that a worker was lost or restarted. */
  noteLoss(workerId: string, now: number): void {
    this.evidenceOf(workerId, now).noteLoss(now);
  }

  /** Brings the judgement of all workers up to date; call it before a pass. */
  refresh(now: number): void {
    if (now < this.refreshAt) {
      this.assignJudgements();
      return;
    }
    this.refreshAt = now + REFRESH_MILLISECONDS;
    const groups = new Map<string, ServiceGroup>();
    for (const worker of this.workers.values()) {
      const {service} = worker.description;
      const group = groups.get(service) ?? {evidence: [], workerCount: 0};
      groups.set(service, group);
      group.workerCount++;
      const evidence = this.collectUnderWay(worker, now);
      if (!evidence) continue;
      evidence.seenAt = now;
      group.evidence.push(evidence);
    }
    for (const [service, {evidence, workerCount}] of groups) {
      this.judge(service, evidence, workerCount, now);
    }
    this.dropUnseen(now);
    this.assignJudgements();
  }

  /** A worker that is back has a new state, and evidence from before. */
  private assignJudgements(): void {
    for (const worker of this.workers.values()) {
      const evidence = this.evidenceByWorker.get(worker.id);
      if (evidence) worker.judgement = evidence.judgement;
    }
  }

  /**
   * Compares workers with their median, so that none is avoided if all are slow
   * or fail alike. One normal worker represents those without evidence.
   */
  private judge(
    service: string,
    workers: readonly WorkerEvidence[],
    workerCount: number,
    now: number,
  ): void {
    const times = workers.filter(evidence => evidence.hasTimes(now));
    const slowness = times.map(evidence => evidence.slownessAt(now));
    if (times.length < workerCount) slowness.push(0);
    const normalSlowness = lowerMedian(slowness);
    const shares = workers.map(evidence => evidence.failureShareAt(now));
    // Also where all are known: a worker that is alone may fail all the same.
    shares.push(WorkerEvidence.normalFailureShare);
    const normalShare = Math.max(
      WorkerEvidence.normalFailureShare,
      lowerMedian(shares),
    );
    this.normalFailureShares.set(service, normalShare);
    for (const evidence of workers) {
      const {judgement} = evidence;
      const slowdown = Math.exp(
        evidence.slownessAt(now) - Math.max(0, normalSlowness),
      );
      const leastSlowdown = judgement.isSlow
        ? RECOVERED_SLOWDOWN
        : MINIMUM_SLOWDOWN;
      judgement.slowdown = slowdown < leastSlowdown ? 1 : slowdown;
      const share = evidence.failureShareAt(now) - normalShare;
      judgement.failureShare =
        share < MINIMUM_FAILURE_SHARE
          ? 0
          : Math.min(MAXIMUM_FAILURE_SHARE, share);
      // Without a success, the evidence has decayed or proved wrong.
      if (judgement.isFailing && share < MINIMUM_FAILURE_SHARE) {
        endFailing(evidence);
      }
      const losses = evidence.lossCountAt(now);
      judgement.lossesPerMillisecond =
        losses < MINIMUM_LOSSES ? 0 : DecayingSum.ratePerMillisecond(losses);
    }
  }

  private judgeFailure(evidence: WorkerEvidence, run: Run, now: number): void {
    const {judgement} = evidence;
    const service = run.step.submission.queue.service;
    const normalShare = this.normalFailureShares.get(service) ?? 0;
    if (judgement.isProbe(run)) {
      evidence.probeDelayMilliseconds = Math.min(
        MAXIMUM_PROBE_DELAY_MILLISECONDS,
        evidence.probeDelayMilliseconds * 2 || FIRST_PROBE_DELAY_MILLISECONDS,
      );
      judgement.probeNotBefore = now + evidence.probeDelayMilliseconds;
    }
    if (judgement.isFailing) return;
    if (evidence.failureShareAt(now) - normalShare < FAILING_SHARE) return;
    judgement.failingSince = now;
  }

  private noteTime(
    evidence: WorkerEvidence,
    outcomes: StepOutcomes,
    run: Run,
    now: number,
  ): void {
    const worker = this.workers.get(run.workerId);
    if (!worker || !hasComparableTime(run, worker)) return;
    const place = placeOf(run, worker);
    const milliseconds = Math.max(1, now - (run.runningSince ?? now));
    const expected = outcomes.expectation(place);
    if (expected) {
      const ratio = milliseconds / expected.milliseconds;
      evidence.noteTime(ratio, expected.weight, now);
    }
    outcomes.noteTime(milliseconds, place);
  }

  /**
   * Counts the runs of a worker that take far longer than expected. Returns
   * the evidence about the worker; undefined when there is none.
   */
  private collectUnderWay(
    worker: WorkerState,
    now: number,
  ): WorkerEvidence | undefined {
    let evidence = this.evidenceByWorker.get(worker.id);
    evidence?.clearUnderWay();
    for (const run of worker.runs.values()) {
      if (evidence?.judgement.isProbe(run) && isServing(run)) {
        evidence.noteSuccess(now);
        endFailing(evidence);
      }
      if (run.phase !== 'running') continue;
      if (!hasComparableTime(run, worker)) continue;
      const expected = this.outcomesOf(run.step).expectation(
        placeOf(run, worker),
      );
      if (!expected) continue;
      const ratio = expectedDuration(run, now) / expected.milliseconds;
      const isMeasured = expected.weight >= 0.5;
      if (ratio < (isMeasured ? LATE_FACTOR : LATE_FACTOR_BY_ESTIMATE)) {
        continue;
      }
      evidence ??= this.evidenceOf(worker.id, now);
      evidence.noteUnderWay(ratio, expected.weight);
    }
    return evidence;
  }

  private evidenceOf(workerId: string, now: number): WorkerEvidence {
    const known = this.evidenceByWorker.get(workerId);
    if (known) return known;
    const evidence = WorkerEvidence.create(workerId);
    evidence.seenAt = now;
    this.evidenceByWorker.set(workerId, evidence);
    return evidence;
  }

  private outcomesOf(step: StepState): StepOutcomes {
    const known = this.outcomesByStep.get(step);
    if (known) return known;
    const {estimatedMilliseconds} = step.specification;
    const outcomes = StepOutcomes.create(estimatedMilliseconds);
    this.outcomesByStep.set(step, outcomes);
    return outcomes;
  }

  private dropUnseen(now: number): void {
    for (const [id, {seenAt}] of this.evidenceByWorker) {
      if (now > seenAt + KEEP_UNSEEN_MILLISECONDS) {
        this.evidenceByWorker.delete(id);
      }
    }
  }
}

function endFailing(evidence: WorkerEvidence): void {
  evidence.judgement.failingSince = Infinity;
  evidence.judgement.probeNotBefore = 0;
  evidence.probeDelayMilliseconds = 0;
}

/**
 * False for runs whose time does not show the worker's speed: lasting and paced
 * ones, best-effort ones, gangs (which go at the pace of their slowest member),
 * those of earlier owners, those that may continue from a checkpoint, and those
 * whose end may have been reported late.
 */
function hasComparableTime(run: Run, worker: WorkerState): boolean {
  const {isService, isGang, usesSpareCapacity, savesCheckpoints} =
    run.step.specification;
  if (isService || isGang || usesSpareCapacity) return false;
  if (run.isAdopted || run.runningSince === undefined) return false;
  if (run.runningSince <= worker.failedPollAt) return false;
  if (run.pacePercent < 100) return false;
  return !savesCheckpoints || run.attempt <= 1;
}

/** A lasting task reports 100 percent once it serves. */
function isServing(run: Run): boolean {
  return (
    run.phase === 'running' &&
    run.step.specification.isService &&
    run.progressPercent >= 100
  );
}

function placeOf(run: Run, worker: WorkerState): 'near' | 'far' {
  const {dataRack} = run.step.specification;
  return dataRack === '' || worker.rack === dataRack ? 'near' : 'far';
}

/** Time of a run under way so far, or in all as its progress shows. */
function expectedDuration(run: Run, now: number): number {
  const since = run.runningSince ?? now;
  const elapsed = now - since;
  if (run.progressPercent < MINIMUM_PROGRESS_PERCENT) return elapsed;
  const total = ((run.progressedAt - since) * 100) / run.progressPercent;
  return Math.max(elapsed, total);
}

function lowerMedian(values: number[]): number {
  values.sort((a, b) => a - b);
  return values[Math.floor((values.length - 1) / 2)] ?? 0;
}
