import type {z} from 'zod';

/** One named part of the heartbeat, written and read by one package. */
export interface HeartbeatSection<Value> {
  readonly name: string;
  readonly schema: z.ZodType<Value>;
}
