import {z} from 'zod';
import {definePeerMethod} from './define_peer_method.js';
import {KeyRegistration} from './key_registration.js';

/**
 * A new registrar asks every host for the keys of its partition: those the
 * host coordinates, and those of tasks on its workers whose coordinator is
 * not there. `groups` are the worker groups whose task lists it has read.
 */
export const LIST_KEYS = definePeerMethod(
  'key.list',
  z.strictObject({partition: z.string()}),
  z.strictObject({
    registrations: z.array(KeyRegistration),
    groups: z.array(z.string()),
  }),
);
