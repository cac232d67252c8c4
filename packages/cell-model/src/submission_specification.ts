import {z} from 'zod';
import {StepSpecification} from './step_specification.js';

/** A caller's submission: steps, and optionally times at which they repeat. */
export const SubmissionSpecification = z.object({
  /** Opaque to the scheduler; every start order carries it. */
  payload: z.string(),
  steps: z.array(StepSpecification).min(1),
  /** Number of timed occurrences; 0 runs the steps once, immediately. */
  occurrenceCount: z.number().int().min(0),
  firstOccurrenceAtUnixMilliseconds: z.number().min(0),
  occurrenceIntervalMilliseconds: z.number().min(0),
});
export type SubmissionSpecification = z.infer<typeof SubmissionSpecification>;
