import type {SubmissionSpecification} from '@cardamomfield/cell-model';

/** Maximum number of tasks in a step of a small submission. */
const MAXIMUM_TASKS = 256;

/** Maximum number of steps of a small submission. */
const MAXIMUM_STEPS = 256;

/** True for a submission whose progress is recorded in ranges of tasks. */
export function isLargeSubmission({steps}: SubmissionSpecification): boolean {
  return (
    steps.length > MAXIMUM_STEPS ||
    steps.some(({taskCount}) => taskCount > MAXIMUM_TASKS)
  );
}
