import {Name, RequestKey} from '@cardamomfield/types';
import {z} from 'zod';

/** Record of the entry host that coordinates the request of a key. */
export const KeyRegistration = z.strictObject({
  key: RequestKey,
  /** Hash of the request body; distinguishes a repeat from a conflict. */
  bodyHash: z.string(),
  coordinator: Name,
  coordinatorIncarnation: z.string(),
  /**
   * Incarnation of a failed coordinator that this one replaces, set after proof
   * that no task of the earlier request is live.
   */
  replaces: z.string().optional(),
  /** Wall-clock instant after which the entry may be dropped. */
  expiresAt: z.int(),
});
export type KeyRegistration = z.infer<typeof KeyRegistration>;
