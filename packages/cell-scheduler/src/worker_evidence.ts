import {DecayingSum} from './decaying_sum.js';
import type {StepOutcomes} from './step_outcomes.js';
import {WorkerJudgement} from './worker_judgement.js';

/** Number of normal run times that a worker is assumed to have shown. */
const NORMAL_TIMES = 2;

/** Number of runs with the normal share of failures, assumed likewise. */
const NORMAL_RUNS = 4;

/** Maximum number of steps whose failures are kept for a worker. */
const MAXIMUM_FAILED_STEPS = 16;

/** Lost runs within this time stem from one loss of their worker. */
const ONE_LOSS_MILLISECONDS = 1_000;

/** What the runs on one worker have shown, across its incarnations. */
export class WorkerEvidence {
  /** Share of runs that fail by their own fault. */
  static readonly normalFailureShare = 0.02;

  readonly judgement = WorkerJudgement.create();
  /** Logarithms of the ratios of run times to their expectation. */
  private readonly slowness = DecayingSum.create();
  private readonly successes = DecayingSum.create();
  private readonly losses = DecayingSum.create();
  /** Monotonic time of the last failure by step, oldest first. */
  private readonly failures = new Map<StepOutcomes, number>();
  private lostAt = -Infinity;
  private underWaySum = 0;
  private underWayWeight = 0;
  /** Monotonic time at which the worker was last listed. */
  seenAt = -Infinity;
  /** Delay of the next probe after the last failed one; 0 before the first. */
  probeDelayMilliseconds = 0;

  private constructor(private readonly workerId: string) {}

  static create(workerId: string): WorkerEvidence {
    return new WorkerEvidence(workerId);
  }

  noteTime(ratio: number, weight: number, now: number): void {
    this.slowness.add(Math.log(ratio), weight, now);
  }

  noteSuccess(now: number): void {
    this.successes.add(1, 1, now);
  }

  noteFailure(outcomes: StepOutcomes, now: number): void {
    this.failures.delete(outcomes);
    this.failures.set(outcomes, now);
    if (this.failures.size <= MAXIMUM_FAILED_STEPS) return;
    for (const oldest of this.failures.keys()) {
      this.failures.delete(oldest);
      return;
    }
  }

  noteLoss(now: number): void {
    if (now < this.lostAt + ONE_LOSS_MILLISECONDS) return;
    this.lostAt = now;
    this.losses.add(1, 1, now);
  }

  /** Drops what runs under way have shown; it is collected anew. */
  clearUnderWay(): void {
    this.underWaySum = 0;
    this.underWayWeight = 0;
  }

  noteUnderWay(ratio: number, weight: number): void {
    this.underWaySum += Math.log(ratio) * weight;
    this.underWayWeight += weight;
  }

  hasTimes(now: number): boolean {
    return this.slowness.weightAt(now) + this.underWayWeight > 0.1;
  }

  /** Logarithm of the slowdown, shrunk towards 0 with few observations. */
  slownessAt(now: number): number {
    const sum = this.slowness.valueAt(now) + this.underWaySum;
    const weight = this.slowness.weightAt(now) + this.underWayWeight;
    return sum / (weight + NORMAL_TIMES);
  }

  /** Share of failed runs, shrunk towards the norm with few observations. */
  failureShareAt(now: number): number {
    let failed = 0;
    for (const [outcomes, failedAt] of this.failures) {
      const remaining = DecayingSum.remainingShare(failedAt, now);
      failed += remaining * outcomes.failuresAgainst(this.workerId);
    }
    const runs = failed + this.successes.weightAt(now);
    return (
      (failed + NORMAL_RUNS * WorkerEvidence.normalFailureShare) /
      (runs + NORMAL_RUNS)
    );
  }

  /** Decayed number of times that the worker was lost or restarted. */
  lossCountAt(now: number): number {
    return this.losses.weightAt(now);
  }
}
