import {z} from 'zod';

/** Where a task stands on its worker. All but `running` are final. */
export const TaskPhase = z.enum([
  'running',
  'succeeded',
  'failed',
  'stopped',
  'lease-expired',
]);
export type TaskPhase = z.infer<typeof TaskPhase>;
