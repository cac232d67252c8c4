import {Name, RequestKey, ResourceVector} from '@cardamomfield/types';
import {z} from 'zod';

/** Asks a group's owner to hold capacity for tasks of a gang. */
export const HoldRequest = z.strictObject({
  /** Key of the gang request. */
  gangKey: RequestKey,
  group: Name,
  service: Name,
  /** Resources that each task needs. */
  demand: ResourceVector,
  /** Number of tasks. */
  count: z.int().positive(),
  /** Wall-clock instant at which the hold expires unless the gang starts. */
  deadline: z.int(),
});
export type HoldRequest = z.infer<typeof HoldRequest>;
