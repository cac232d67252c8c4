import {RequestKey} from '@cardamomfield/types';
import {z} from 'zod';
import {definePeerMethod} from './define_peer_method.js';

/**
 * Stops every queued, dispatched and running task of the requests. The
 * outcome of each task arrives as a task update. Idempotent.
 */
export const CANCEL_REQUESTS = definePeerMethod(
  'cancel',
  z.strictObject({keys: z.array(RequestKey).min(1)}),
  z.strictObject({}),
);
