import {Name, RequestKey} from '@cardamomfield/types';
import {z} from 'zod';

/** Which entry host coordinates the request of a key. */
export const KeyRegistration = z.strictObject({
  key: RequestKey,
  /** Hash of the request body, to tell a repeat from a conflict. */
  bodyHash: z.string(),
  coordinator: Name,
  coordinatorIncarnation: z.string(),
  /**
   * Incarnation of a dead coordinator that this one replaces, after proof
   * that nothing of the earlier request is live.
   */
  replaces: z.string().optional(),
  /** Wall-clock instant after which the entry may be dropped. */
  expiresAt: z.int(),
});
export type KeyRegistration = z.infer<typeof KeyRegistration>;
