import {z} from 'zod';

/** One host as the platform's lagging list shows it. */
export const HostEntry = z.object({
  name: z.string(),
  state: z.enum(['live', 'leaving']),
});
export type HostEntry = z.infer<typeof HostEntry>;
