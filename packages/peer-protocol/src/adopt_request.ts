import {z} from 'zod';
import {definePeerMethod} from './define_peer_method.js';
import {RequestState} from './request_state.js';

/**
 * A coordinator that shuts down asks a peer to go on with a request. Once the
 * peer has answered, the old coordinator does nothing more with it.
 */
export const ADOPT_REQUEST = definePeerMethod(
  'request.adopt',
  z.strictObject({state: RequestState, incarnation: z.string()}),
  z.strictObject({}),
);
