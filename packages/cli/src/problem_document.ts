import {z} from 'zod';

/** Body of an error response of an entry host. */
export const ProblemDocument = z.looseObject({
  code: z.string(),
  detail: z.string(),
  details: z.record(z.string(), z.unknown()).optional(),
});
export type ProblemDocument = z.infer<typeof ProblemDocument>;
