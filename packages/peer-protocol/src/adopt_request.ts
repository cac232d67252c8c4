import {z} from 'zod';
import {definePeerMethod} from './define_peer_method.js';
import {RequestState} from './request_state.js';

/**
 * Coordinator to peer, during shutdown: take over a request. Once the peer has
 * answered, the old coordinator does no more work on the request.
 */
export const ADOPT_REQUEST = definePeerMethod(
  'request.adopt',
  z.strictObject({state: RequestState, incarnation: z.string()}),
  z.strictObject({}),
);
