import type {SubmissionSpecification} from '@cardamomfield/cell-model';

/** Heap that the state of one task and its run take. */
const TASK_BYTES = 600;

/** Heap that the state of one step takes, tasks aside. */
const STEP_BYTES = 1_500;

/** Heap that a submission takes, payload and steps aside. */
const SUBMISSION_BYTES = 1_500;

/** Bytes of a character in a string that is not Latin. */
const CHARACTER_BYTES = 2;

/** Estimated heap that a submission takes while its owner holds it. */
export function estimateMemoryBytes(
  specification: SubmissionSpecification,
): number {
  const {payload, steps, occurrenceCount} = specification;
  let tasks = 0;
  let characters = payload.length;
  for (const step of steps) {
    tasks += step.taskCount;
    characters +=
      step.requiredLabel.length +
      step.dataRack.length +
      step.image.length +
      step.dependsOn.length;
  }
  const occurrenceBytes = tasks * TASK_BYTES + steps.length * STEP_BYTES;
  return (
    SUBMISSION_BYTES +
    characters * CHARACTER_BYTES +
    Math.max(1, occurrenceCount) * occurrenceBytes
  );
}
