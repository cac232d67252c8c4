import type {
  Queue,
  StepSpecification,
  SubmissionSpecification,
} from '@cardamomfield/cell-model';

/**
 * For tests: a queue and a submission to it, whose steps have equal tasks and
 * each need the one before.
 */
export function createKind(
  queue: Partial<Queue>,
  step: Partial<StepSpecification>,
  stepCount = 2,
): {queue: Queue; specification: SubmissionSpecification} {
  const first: StepSpecification = {
    taskCount: 1,
    milliCores: 1_000,
    memoryMegabytes: 100,
    accelerators: 0,
    estimatedMilliseconds: 1_000,
    dependsOn: [],
    isGang: false,
    isTightlyCoupled: false,
    requiredLabel: '',
    dataRack: '',
    maximumPerWorker: 0,
    savesCheckpoints: false,
    allowsCopies: false,
    isService: false,
    image: '',
    tailTargetMilliseconds: 0,
    usesSpareCapacity: false,
    maximumUnavailable: 0,
    ...step,
  };
  return {
    queue: {
      name: 'queue',
      host: 'host',
      pathPrefix: '/',
      service: 'service',
      priority: 1,
      maximumAttempts: 3,
      stretchFactor: 1,
      targetLatencyMilliseconds: 400,
      timeoutMilliseconds: 3_000,
      ...queue,
    },
    specification: {
      payload: '',
      steps: Array.from({length: stepCount}, (_, index) => ({
        ...first,
        dependsOn: index === 0 ? [] : [index - 1],
      })),
      occurrenceCount: 0,
      firstOccurrenceAtUnixMilliseconds: 0,
      occurrenceIntervalMilliseconds: 0,
    },
  };
}
