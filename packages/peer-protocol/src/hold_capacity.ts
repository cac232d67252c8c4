import {Name, RequestKey, ResourceVector} from '@cardamomfield/types';
import {z} from 'zod';
import {definePeerMethod} from './define_peer_method.js';

/**
 * Coordinator to owner: set capacity aside for tasks of a gang until the
 * wall-clock deadline. The answer says for how many tasks it did.
 */
export const HOLD_CAPACITY = definePeerMethod(
  'gang.hold',
  z.strictObject({
    key: RequestKey,
    group: Name,
    team: Name,
    service: Name,
    demand: ResourceVector,
    count: z.int().positive(),
    holdDeadline: z.int(),
  }),
  z.strictObject({held: z.int().nonnegative()}),
);
