import {Name, RequestKey} from '@cardamomfield/types';
import {z} from 'zod';
import {definePeerMethod} from './define_peer_method.js';
import {KnownTask} from './known_task.js';

/**
 * Asks a host which tasks of a request its workers have. `groups` holds the
 * worker groups whose task lists the host has read completely, with the epoch
 * under which it read them. Only for these groups is the absence of a task
 * conclusive.
 */
export const FIND_TASKS = definePeerMethod(
  'key.find',
  z.strictObject({key: RequestKey}),
  z.strictObject({
    tasks: z.array(KnownTask),
    groups: z.record(Name, z.int().nonnegative()),
  }),
);
