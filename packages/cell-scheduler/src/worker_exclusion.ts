import {z} from 'zod';

/** Why a worker cannot take a task now. */
export const WorkerExclusion = z.enum([
  'other-service',
  'not-ready',
  'not-reachable',
  'not-listed',
  'failed-repeatedly',
  'probe-delayed',
  'probe-running',
  'reserved-for-another-step',
  'label-missing',
  'maximum-per-worker',
  'no-ticket',
  'earlier-run',
  'avoided-as-uneven',
  'not-enough-processor',
  'not-enough-memory',
  'not-enough-accelerators',
]);
export type WorkerExclusion = z.infer<typeof WorkerExclusion>;
