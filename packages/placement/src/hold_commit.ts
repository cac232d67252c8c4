import {Name, RequestKey, TaskIdentity, WorkKind} from '@cardamomfield/types';
import {z} from 'zod';

/** Turns a hold into reservations of tasks. */
export const HoldCommit = z.strictObject({
  gangKey: RequestKey,
  group: Name,
  /** Tasks that use the held places; unused places are freed. */
  tasks: z.array(TaskIdentity),
  info: z.strictObject({
    team: Name,
    service: Name,
    kind: WorkKind,
    declaredRunMilliseconds: z.int().nonnegative(),
  }),
});
export type HoldCommit = z.infer<typeof HoldCommit>;
