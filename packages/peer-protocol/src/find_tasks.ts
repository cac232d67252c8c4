import {Name, RequestKey} from '@cardamomfield/types';
import {z} from 'zod';
import {definePeerMethod} from './define_peer_method.js';
import {KnownTask} from './known_task.js';

/**
 * Asks a host which tasks of a request its workers hold. `groups` are those
 * whose workers' task lists it has read completely, with the epoch under
 * which it did; only for these does an absent task prove anything.
 */
export const FIND_TASKS = definePeerMethod(
  'key.find',
  z.strictObject({key: RequestKey}),
  z.strictObject({
    tasks: z.array(KnownTask),
    groups: z.record(Name, z.int().nonnegative()),
  }),
);
