import type {Run} from './run.js';

/** Extra time of a run that is lost: until the loss is noticed, on average. */
const LOSS_MILLISECONDS = 2_000;

/** Share of a lost run that has been worked off, on average. */
const LOST_SHARE = 0.5;

/**
 * What the owner expects of a worker, compared with the others. The initial
 * values are the norm.
 */
export class WorkerJudgement {
  /** Expected factor on run times. */
  slowdown = 1;
  /** Expected share of failed runs above that of the other workers. */
  failureShare = 0;
  lossesPerMillisecond = 0;
  /** Monotonic time since which the worker gets one run at a time, or never. */
  failingSince = Infinity;
  /** Monotonic deadline before which a failing worker gets no other run. */
  probeNotBefore = 0;

  private constructor() {}

  static create(): WorkerJudgement {
    return new WorkerJudgement();
  }

  get isSlow(): boolean {
    return this.slowdown > 1;
  }

  get isFailing(): boolean {
    return this.failingSince !== Infinity;
  }

  get isFlapping(): boolean {
    return this.lossesPerMillisecond > 0;
  }

  /** False for a worker that is like the others in every respect. */
  get isUneven(): boolean {
    return (
      this.isSlow || this.isFailing || this.isFlapping || this.failureShare > 0
    );
  }

  /** Expected extra time by slowness and failures, in run times. */
  get extraRuns(): number {
    return this.slowdown / (1 - this.failureShare) - 1;
  }

  /** Expected extra time of a run of the given length, in run times. */
  extraRunsFor(runMilliseconds: number): number {
    const lossProbability =
      1 - Math.exp(-this.lossesPerMillisecond * runMilliseconds);
    const lossCost = LOST_SHARE + LOSS_MILLISECONDS / runMilliseconds;
    return this.extraRuns + lossProbability * lossCost;
  }

  /** True for a run that shows whether a failing worker has recovered. */
  isProbe(run: Run): boolean {
    return run.placedAt >= this.failingSince;
  }
}
