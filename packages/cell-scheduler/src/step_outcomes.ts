/** An expected run time and how much it is relied on. */
interface Expectation {
  milliseconds: number;
  weight: number;
}

/**
 * Weight of a comparison with the caller's estimate. Estimates are off by half,
 * so several of them count as much as one comparison with runs of the step.
 */
const ESTIMATE_WEIGHT = 0.25;

/** A failure elsewhere outweighs this many tasks that succeeded. */
const FAILURE_WEIGHT = 2;

/** Run times and failures of the tasks of one step, on all workers. */
export class StepOutcomes {
  /** Sum and number of logarithms of run times, near the data and far from it. */
  private readonly logarithms = {near: 0, far: 0};
  private readonly counts = {near: 0, far: 0};
  private doneCount = 0;
  private failedCount = 0;
  /** Undefined before the first failure, since most steps have none. */
  private failuresByWorker: Map<string, number> | undefined;

  private constructor(private readonly estimatedMilliseconds: number) {}

  static create(estimatedMilliseconds: number): StepOutcomes {
    return new StepOutcomes(estimatedMilliseconds);
  }

  /**
   * What the runs that ended so far show for another run of the step: their
   * geometric mean, which one slow run shifts little. Without any, the
   * estimate; a run far from its data has none, since it takes longer anyway.
   */
  expectation(place: 'near' | 'far'): Expectation | undefined {
    const count = this.counts[place];
    if (count > 0) {
      return {
        milliseconds: Math.exp(this.logarithms[place] / count),
        weight: count / (count + 1),
      };
    }
    if (place === 'far' || this.estimatedMilliseconds <= 0) return undefined;
    return {milliseconds: this.estimatedMilliseconds, weight: ESTIMATE_WEIGHT};
  }

  /**
   * What the ended runs show for a run near its data; undefined without any. Far
   * ones count if there are no near ones.
   */
  measured(farPlacePenalty: number): Expectation | undefined {
    if (this.counts.near > 0) return this.expectation('near');
    const far = this.expectation('far');
    if (!far) return undefined;
    return {...far, milliseconds: far.milliseconds / farPlacePenalty};
  }

  noteTime(milliseconds: number, place: 'near' | 'far'): void {
    this.logarithms[place] += Math.log(milliseconds);
    this.counts[place]++;
  }

  noteDone(): void {
    this.doneCount++;
  }

  noteFailure(workerId: string): void {
    this.failedCount++;
    this.failuresByWorker ??= new Map();
    const count = this.failuresByWorker.get(workerId) ?? 0;
    this.failuresByWorker.set(workerId, count + 1);
  }

  /**
   * Number of failures on a worker that count against it. The first one does;
   * further ones only as far as tasks of the step have succeeded. Failures on
   * other workers show that the tasks are at fault.
   */
  failuresAgainst(workerId: string): number {
    const here = this.failuresByWorker?.get(workerId) ?? 0;
    const elsewhere = this.failedCount - here;
    const succeeded = 1 + this.doneCount;
    const share = succeeded / (succeeded + FAILURE_WEIGHT * elsewhere);
    return Math.min(here, succeeded) * share;
  }
}
