import {FinalAnswer} from '@cardamomfield/types';
import {z} from 'zod';

/** The part of a request's state that this command reads. */
export const RequestView = z.looseObject({
  key: z.string(),
  answer: FinalAnswer.optional(),
});
export type RequestView = z.infer<typeof RequestView>;
