import {z} from 'zod';
import {definePeerMethod} from './define_peer_method.js';
import {KeyRegistration} from './key_registration.js';

/**
 * New registrar to every host: list the keys of the registrar's partition.
 * These are the keys that the host coordinates and the keys of tasks on its
 * workers whose coordinator is not connected. `groups` holds the worker groups
 * whose task lists the host has read.
 */
export const LIST_KEYS = definePeerMethod(
  'key.list',
  z.strictObject({partition: z.string()}),
  z.strictObject({
    registrations: z.array(KeyRegistration),
    groups: z.array(z.string()),
  }),
);
