import type {SubmissionSpecification} from '@cardamomfield/cell-model';

/** Heap that the state of one task and its run take. */
const TASK_BYTES = 600;

/** Heap that the state of one step takes, tasks aside. */
const STEP_BYTES = 1_500;

/** Heap that a submission takes, payload and steps aside. */
const SUBMISSION_BYTES = 1_500;

/** Heap that an entry of a step's dependencies takes. */
const DEPENDENCY_BYTES = 8;

/** Bytes of a character in a string that is not Latin. */
const CHARACTER_BYTES = 2;

/** Characters of a step's fields in its record, apart from those below. */
const STEP_CHARACTERS = 350;

/** Characters of a dependency in a record. */
const DEPENDENCY_CHARACTERS = 4;

/**
 * Estimated heap that a submission takes: its state, and the text of its record,
 * which the next owner holds beside the state of other submissions.
 */
export function estimateMemoryBytes(
  specification: SubmissionSpecification,
): number {
  const {payload, steps, occurrenceCount} = specification;
  let tasks = 0;
  let dependencies = 0;
  let characters = payload.length;
  for (const step of steps) {
    tasks += step.taskCount;
    dependencies += step.dependsOn.length;
    characters +=
      step.requiredLabel.length + step.dataRack.length + step.image.length;
  }
  const recordCharacters =
    characters +
    steps.length * STEP_CHARACTERS +
    dependencies * DEPENDENCY_CHARACTERS;
  const occurrenceBytes = tasks * TASK_BYTES + steps.length * STEP_BYTES;
  return (
    SUBMISSION_BYTES +
    (characters + recordCharacters) * CHARACTER_BYTES +
    dependencies * DEPENDENCY_BYTES +
    Math.max(1, occurrenceCount) * occurrenceBytes
  );
}
