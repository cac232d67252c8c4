import {Submission} from '@cardamomfield/types';
import {z} from 'zod';

/** A request as sent by a caller; the entry host fills in absent properties. */
export const CallerRequest = z.strictObject({
  ...Submission.shape,
  key: Submission.shape.key.optional(),
  region: Submission.shape.region.optional(),
  taskCount: Submission.shape.taskCount.default(1),
  declaredRunMilliseconds: Submission.shape.declaredRunMilliseconds.default(0),
  deadline: Submission.shape.deadline.optional(),
  payload: Submission.shape.payload.default(null),
});
export type CallerRequest = z.infer<typeof CallerRequest>;
