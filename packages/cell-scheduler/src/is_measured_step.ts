import type {StepSpecification} from '@cardamomfield/cell-model';

/**
 * True for steps whose tasks end and hold cores of any worker. Others wait for
 * what the rate of ended work does not describe.
 */
export function isMeasuredStep(step: StepSpecification): boolean {
  return (
    !step.isService &&
    !step.usesSpareCapacity &&
    step.accelerators === 0 &&
    step.requiredLabel === ''
  );
}
