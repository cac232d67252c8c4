import {z} from 'zod';

/** Longest request key. */
const MAXIMUM_KEY_LENGTH = 200;

/** Names one request for good, chosen by its caller or by the entry host. */
export const RequestKey = z
  .string()
  .min(1)
  .max(MAXIMUM_KEY_LENGTH)
  .regex(/^[A-Za-z0-9._:-]+$/, 'letters, digits, ".", "_", ":" and "-"');
export type RequestKey = z.infer<typeof RequestKey>;
