import {z} from 'zod';
import {definePeerMethod} from './define_peer_method.js';
import {KeyRegistration} from './key_registration.js';

/**
 * Coordinator to registrar: the first registration of a key wins. The answer
 * holds the winning entry of each key, in the order asked, or null while the
 * registrar can't yet tell.
 */
export const REGISTER_KEYS = definePeerMethod(
  'key.register',
  z.strictObject({registrations: z.array(KeyRegistration).min(1)}),
  z.strictObject({winners: z.array(KeyRegistration.nullable())}),
);
