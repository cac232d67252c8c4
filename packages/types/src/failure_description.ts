import {z} from 'zod';

/** An error as plain data. */
export const FailureDescription = z.object({
  code: z.string(),
  message: z.string(),
  details: z.record(z.string(), z.unknown()).optional(),
});
export type FailureDescription = z.infer<typeof FailureDescription>;
