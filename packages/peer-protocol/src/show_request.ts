import {RequestKey} from '@cardamomfield/types';
import {z} from 'zod';
import {definePeerMethod} from './define_peer_method.js';
import {RequestView} from './request_view.js';

/**
 * Asks a coordinator for the view of a request. With `afterRevision` the answer
 * is delayed until there is a newer revision or the wall-clock instant
 * `waitUntil` has passed.
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
