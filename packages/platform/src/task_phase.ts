import {z} from 'zod';

/** State of a task on its worker. All phases but `running` are final. */
export const TaskPhase = z.enum([
  'running',
  'succeeded',
  'failed',
  'stopped',
  'lease-expired',
]);
export type TaskPhase = z.infer<typeof TaskPhase>;
