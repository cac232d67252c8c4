import {z} from 'zod';

/** The state of a submission, as reported to callers. */
export const SubmissionState = z.enum([
  'queued',
  'running',
  'completed',
  'failed',
  'cancelled',
]);
export type SubmissionState = z.infer<typeof SubmissionState>;
