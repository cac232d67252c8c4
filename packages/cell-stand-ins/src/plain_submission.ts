import type {Queue, SubmissionSpecification} from '@cardamomfield/cell-model';

const MILLICORES = 1_500;

const QUEUE: Queue = {
  name: 'queue',
  host: 'host',
  pathPrefix: '/',
  service: 'service',
  priority: 1,
  maximumAttempts: 50,
  stretchFactor: 1,
  targetLatencyMilliseconds: 1_000,
  timeoutMilliseconds: 3_000,
};

interface PlainSubmission {
  queue: Queue;
  specification: SubmissionSpecification;
  /** Processor demand of each task. */
  milliCores: number;
}

/** Creates a submission of two identical steps; the second needs the first. */
export function createSubmission(
  taskCount = 3,
  isService = false,
): PlainSubmission {
  const step = {
    taskCount,
    milliCores: MILLICORES,
    memoryMegabytes: 1,
    accelerators: 0,
    estimatedMilliseconds: 1_000,
    dependsOn: [] as number[],
    isGang: false,
    isTightlyCoupled: false,
    requiredLabel: '',
    dataRack: '',
    maximumPerWorker: 0,
    savesCheckpoints: false,
    allowsCopies: false,
    isService,
    image: '',
    tailTargetMilliseconds: 0,
    usesSpareCapacity: false,
    maximumUnavailable: 0,
  };
  return {
    queue: QUEUE,
    milliCores: MILLICORES,
    specification: {
      payload: 'payload',
      steps: [step, {...step, dependsOn: [0]}],
      occurrenceCount: 0,
      firstOccurrenceAtUnixMilliseconds: 0,
      occurrenceIntervalMilliseconds: 0,
    },
  };
}
