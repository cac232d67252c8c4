import {z} from 'zod';
import {Queue} from './queue.js';
import {Team} from './team.js';

/** The complete latest version of the operators' desired state. */
export const DesiredState = z.object({
  version: z.number(),
  queues: z.array(Queue),
  services: z.array(z.object({name: z.string(), isOnStandby: z.boolean()})),
  maximumBodyBytes: z.number(),
  /** Limits for clients; the host's defaults replace what is missing. */
  clientLimits: z
    .object({
      headerBytes: z.number().positive().optional(),
      headerMilliseconds: z.number().positive().optional(),
      idleMilliseconds: z.number().positive().optional(),
    })
    .optional(),
  /** Undefined where callers need no keys; an empty list allows no key. */
  teams: z.array(Team).optional(),
});
export type DesiredState = z.infer<typeof DesiredState>;
