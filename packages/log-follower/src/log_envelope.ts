import {z} from 'zod';

/**
 * Content of one record of the log: a body with its unique identifier, or a
 * snapshot of the state.
 */
export const LogEnvelope = z.union([
  z.object({
    id: z.string(),
    /**
     * Instant on the log's wall clock after which the record has no effect.
     * It bounds how late an append whose answer was lost can take effect.
     */
    expires: z.int(),
    body: z.json(),
  }),
  z.object({
    id: z.string(),
    /** The snapshot covers all records below this offset. */
    through: z.int().nonnegative(),
    /** JSON text of the state, deflated, in base 64. */
    snapshot: z.string(),
  }),
]);
export type LogEnvelope = z.infer<typeof LogEnvelope>;
