import {z} from 'zod';

/** Maximum length of a name. */
const MAXIMUM_NAME_LENGTH = 128;

/** Name of a host, rack, service, team, region or process. */
export const Name = z
  .string()
  .min(1)
  .max(MAXIMUM_NAME_LENGTH)
  .regex(/^[A-Za-z0-9][A-Za-z0-9._-]*$/, 'letters, digits, ".", "_" and "-"');
export type Name = z.infer<typeof Name>;
