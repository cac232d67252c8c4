import {RequestKey} from '@cardamomfield/types';
import {z} from 'zod';
import {definePeerMethod} from './define_peer_method.js';
import {RequestView} from './request_view.js';

/**
 * Asks a coordinator for a request. With `afterRevision` the answer is held
 * back until something newer is there or the wall-clock instant has passed.
 */
export const SHOW_REQUEST = definePeerMethod(
  'request.show',
  z.strictObject({
    key: RequestKey,
    afterRevision: z.int().nonnegative().optional(),
    waitUntil: z.int().optional(),
  }),
  z.strictObject({
    view: RequestView.nullable(),
    /** Hash of the request body; empty when there is no view. */
    bodyHash: z.string(),
  }),
);
