import {RequestKey} from '@cardamomfield/types';
import {z} from 'zod';
import {definePeerMethod} from './define_peer_method.js';
import {RequestState} from './request_state.js';

/**
 * Coordinator to peer: store this state and continue the request if the
 * coordinator fails. A message without a state means that the request has
 * ended.
 */
export const BACKUP_REQUEST = definePeerMethod(
  'request.backup',
  z.strictObject({key: RequestKey, state: RequestState.optional()}),
  z.strictObject({}),
);
