import {z} from 'zod';

/** A failure as entry hosts answer it. */
export const ProblemDocument = z.looseObject({
  code: z.string(),
  detail: z.string(),
  details: z.record(z.string(), z.unknown()).optional(),
});
export type ProblemDocument = z.infer<typeof ProblemDocument>;
