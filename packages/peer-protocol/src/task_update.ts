import {TaskIdentity} from '@cardamomfield/types';
import {z} from 'zod';

const base = {task: TaskIdentity, epoch: z.int().nonnegative()};
const reason = z.string();

/**
 * Report of an owner on one attempt. `not-started` proves that no start took
 * effect. `displaced` means that the attempt ran and was stopped on purpose.
 * `lost` means that it may have run and no longer runs. `in-doubt` means that
 * none of these can be proved.
 */
export const TaskUpdate = z.discriminatedUnion('stage', [
  z.strictObject({
    ...base,
    stage: z.literal('running'),
    worker: z.string(),
  }),
  z.strictObject({
    ...base,
    stage: z.literal('ended'),
    worker: z.string(),
    succeeded: z.boolean(),
    value: z.json(),
  }),
  z.strictObject({
    ...base,
    stage: z.literal('not-started'),
    reason,
    /** Wall-clock instant before which a retry is pointless. */
    retryAfter: z.int().optional(),
  }),
  z.strictObject({
    ...base,
    stage: z.literal('displaced'),
    worker: z.string(),
    reason,
    checkpoint: z.json().optional(),
  }),
  z.strictObject({
    ...base,
    stage: z.literal('lost'),
    worker: z.string(),
    reason,
  }),
  z.strictObject({
    ...base,
    stage: z.literal('in-doubt'),
    worker: z.string(),
    reason,
  }),
]);
export type TaskUpdate = z.infer<typeof TaskUpdate>;
