import type {Queue, SubmissionSpecification} from '@cardamomfield/cell-model';

/** A submission is worth something to its caller up to this many objectives. */
const USEFUL_OBJECTIVES = 3;

/** Workers that the query for a step is assumed to name. */
const NAMED_WORKERS = 30;

/** The time within which a submission should end, by its estimates. */
export class SubmissionObjective {
  private constructor(
    /** For each step, the longest chain from its start to the last end. */
    private readonly remaining: readonly number[],
    /** Longest chain of dependent steps. */
    readonly chainMilliseconds: number,
    readonly milliseconds: number,
  ) {}

  static create(
    queue: Queue,
    specification: SubmissionSpecification,
  ): SubmissionObjective {
    const remaining = remainingChains(queue, specification);
    const chain = remaining.reduce((a, b) => Math.max(a, b), 0);
    return new SubmissionObjective(
      remaining,
      chain,
      queue.stretchFactor * chain + queue.targetLatencyMilliseconds,
    );
  }

  /** Time after which the result is worth nothing to its caller. */
  get usefulMilliseconds(): number {
    return this.milliseconds * USEFUL_OBJECTIVES;
  }

  /** Time from the start of a step to the end of the last one. */
  remainingMilliseconds(stepIndex: number): number {
    return this.remaining[stepIndex] ?? 0;
  }
}

function remainingChains(
  queue: Queue,
  {steps}: SubmissionSpecification,
): number[] {
  const query = queryMilliseconds(queue);
  const own = steps.map(step => step.estimatedMilliseconds + query);
  const chains = [...own];
  // Steps depend on earlier ones only, so those that follow are complete.
  for (let index = steps.length - 1; index >= 0; index--) {
    const chain = chains[index] ?? 0;
    for (const earlier of steps[index]?.dependsOn ?? []) {
      const throughThis = (own[earlier] ?? 0) + chain;
      chains[earlier] = Math.max(chains[earlier] ?? 0, throughThis);
    }
  }
  return chains;
}

function queryMilliseconds({advice}: Queue): number {
  if (!advice) return 0;
  return (
    advice.decisionMilliseconds + advice.perWorkerMilliseconds * NAMED_WORKERS
  );
}
