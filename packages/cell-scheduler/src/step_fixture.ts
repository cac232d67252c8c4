import type {Queue, StepSpecification} from '@cardamomfield/cell-model';
import {SubmissionRecord} from './submission_record.js';

/** A submission of one step for tests; the given fields override defaults. */
export function createSubmission(
  id: string,
  step: Partial<StepSpecification> = {},
  queue: Partial<Queue> = {},
  team = '',
  acceptedAtUnixMilliseconds = 0,
): SubmissionRecord {
  const submission = SubmissionRecord.create(
    id,
    {
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
    {
      payload: '',
      steps: [
        {
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
        },
      ],
      occurrenceCount: 0,
      firstOccurrenceAtUnixMilliseconds: 0,
      occurrenceIntervalMilliseconds: 0,
    },
    acceptedAtUnixMilliseconds,
    undefined,
    team,
  );
  submission.isAccepted = true;
  return submission;
}
