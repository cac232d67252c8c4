import {RequestKey} from '@cardamomfield/types';
import {z} from 'zod';
import {definePeerMethod} from './define_peer_method.js';
import {RequestView} from './request_view.js';

/** Asks a coordinator to cancel a request that it runs. Idempotent. */
export const CANCEL_REQUEST = definePeerMethod(
  'request.cancel',
  z.strictObject({key: RequestKey}),
  z.strictObject({view: RequestView.nullable()}),
);
