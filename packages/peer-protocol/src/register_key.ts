import {z} from 'zod';
import {definePeerMethod} from './define_peer_method.js';
import {KeyRegistration} from './key_registration.js';

/**
 * Coordinator to registrar: the first registration of a key wins. The answer
 * holds the winning entry and the epoch under which the registrar decided.
 */
export const REGISTER_KEY = definePeerMethod(
  'key.register',
  KeyRegistration,
  z.strictObject({winner: KeyRegistration, epoch: z.int().nonnegative()}),
);
