import {Name, TaskIdentity} from '@cardamomfield/types';
import {z} from 'zod';

/** A task with the worker on which it holds a reservation. */
export const PlacedTask = z.strictObject({
  task: TaskIdentity,
  worker: Name,
  group: Name,
});
export type PlacedTask = z.infer<typeof PlacedTask>;
