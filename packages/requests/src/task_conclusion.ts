import type {FailureDescription, TaskResult} from '@cardamomfield/types';

/** How one task of a request ended, for good. */
export type TaskConclusion =
  | {kind: 'ran'; result: TaskResult}
  | {kind: 'not-run'; reason: FailureDescription; retryAfter?: number}
  | {kind: 'unknown'; reason: FailureDescription};
