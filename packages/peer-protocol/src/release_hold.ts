import {Name, RequestKey} from '@cardamomfield/types';
import {z} from 'zod';
import {definePeerMethod} from './define_peer_method.js';

/** Coordinator to owner: give back what a gang holds in a group. */
export const RELEASE_HOLD = definePeerMethod(
  'gang.release',
  z.strictObject({key: RequestKey, group: Name}),
  z.strictObject({}),
);
