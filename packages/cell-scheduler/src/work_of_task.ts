import type {StepSpecification} from '@cardamomfield/cell-model';

/** Estimated work of one task, in millicores times milliseconds. */
export function workOfTask(step: StepSpecification): number {
  return step.milliCores * step.estimatedMilliseconds;
}
