import {z} from 'zod';

/** An entry of the platform's host list, which may be out of date. */
export const HostEntry = z.object({
  name: z.string(),
  state: z.enum(['live', 'leaving']),
});
export type HostEntry = z.infer<typeof HostEntry>;
