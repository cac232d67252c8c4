import {z} from 'zod';

/** Maximum length of a request key. */
const MAXIMUM_KEY_LENGTH = 200;

/** Permanent ID of a request, chosen by its caller or by the entry host. */
export const RequestKey = z
  .string()
  .min(1)
  .max(MAXIMUM_KEY_LENGTH)
  .regex(/^[A-Za-z0-9._:-]+$/, 'letters, digits, ".", "_", ":" and "-"');
export type RequestKey = z.infer<typeof RequestKey>;
