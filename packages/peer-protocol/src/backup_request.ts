import {RequestKey} from '@cardamomfield/types';
import {z} from 'zod';
import {definePeerMethod} from './define_peer_method.js';
import {RequestState} from './request_state.js';

/**
 * Coordinator to a peer: keep this, and go on with the request should this
 * coordinator die. Without a state the request has ended.
 */
export const BACKUP_REQUEST = definePeerMethod(
  'request.backup',
  z.strictObject({key: RequestKey, state: RequestState.optional()}),
  z.strictObject({}),
);
