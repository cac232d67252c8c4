import type {StepState} from './step_state.js';
import type {SubmissionObjective} from './submission_objective.js';
import type {SubmissionRecord} from './submission_record.js';
import type {WaitingOrder} from './waiting_order.js';

/** What a submission can still be worth to its caller. */
const Prospect = {
  onTime: 0,
  late: 1,
  worthless: 2,
} as const;

interface RankedStep {
  step: StepState;
  priority: number;
  prospect: number;
  /** Remaining work, or the age for steps that are worth nothing any more. */
  rank: number;
}

/**
 * Sorts by priority, and then by what a submission can still be worth: first
 * those that can end within their objective, then those that can end late, then
 * the rest.
 *
 * Load: more work than the cell can do for many seconds. In order of age all
 * submissions would wait for nearly the same time, so that after a few seconds
 * every one of them misses its objective. Here the least remaining work comes
 * first, so that most callers are served on time, and work that was begun is
 * finished before more is begun. What is worth nothing any more follows in order
 * of age, so that it is not overtaken without end.
 */
export class ObjectiveOrder implements WaitingOrder {
  private constructor() {}

  static create(): ObjectiveOrder {
    return new ObjectiveOrder();
  }

  sort(steps: StepState[], nowUnixMilliseconds: number): StepState[] {
    const work = new Map<SubmissionRecord, number>();
    const ranked = steps.map(step => rank(step, nowUnixMilliseconds, work));
    ranked.sort(
      (a, b) =>
        a.priority - b.priority ||
        a.prospect - b.prospect ||
        a.rank - b.rank ||
        (a.step.submission.id < b.step.submission.id ? -1 : 1),
    );
    return ranked.map(({step}) => step);
  }
}

function rank(
  step: StepState,
  nowUnixMilliseconds: number,
  workBySubmission: Map<SubmissionRecord, number>,
): RankedStep {
  const {submission} = step;
  const {objective, queue} = submission;
  const dueAt = Math.max(
    submission.acceptedAtUnixMilliseconds,
    submission.dueAt(step.occurrence),
  );
  const endAt =
    nowUnixMilliseconds + objective.remainingMilliseconds(step.index);
  const prospect = step.specification.isService
    ? Prospect.onTime
    : prospectOf(endAt - dueAt, objective);
  if (prospect === Prospect.worthless) {
    return {step, priority: queue.priority, prospect, rank: dueAt};
  }
  let work = workBySubmission.get(submission);
  if (work === undefined) {
    work = remainingWork(submission);
    workBySubmission.set(submission, work);
  }
  return {step, priority: queue.priority, prospect, rank: work};
}

function prospectOf(
  milliseconds: number,
  objective: SubmissionObjective,
): number {
  if (milliseconds <= objective.milliseconds) return Prospect.onTime;
  if (milliseconds <= objective.usefulMilliseconds) return Prospect.late;
  return Prospect.worthless;
}

/** Work of the tasks that have not ended, in millicore-milliseconds. */
function remainingWork(submission: SubmissionRecord): number {
  let work = 0;
  for (const {
    specification,
    tasks,
    doneCount,
  } of submission.occurrences.flat()) {
    const {milliCores, estimatedMilliseconds} = specification;
    work += (tasks.length - doneCount) * milliCores * estimatedMilliseconds;
  }
  return work;
}
