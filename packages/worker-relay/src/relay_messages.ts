import {WorkerDescription} from '@cardamomfield/cell-model';
import {z} from 'zod';

const Handle = z.number().int();

const Failure = z.object({
  code: z.string(),
  message: z.string(),
  reason: z.string().optional(),
});

const RunningTask = z.object({
  taskName: z.string(),
  attempt: z.number(),
  checkpoint: z.string(),
  progressPercent: z.number(),
  load: z.number(),
});

const RunEnd = z.object({
  number: z.number(),
  taskName: z.string(),
  attempt: z.number(),
  kind: z.enum(['done', 'failed', 'stopped', 'lapsed', 'broken', 'alone']),
  checkpoint: z.string(),
});

/** Parameters and results of the calls on a channel to a relay host. */
export const RelayMessages = {
  open: z.object({
    /** Epoch of the owner; channels of lower epochs are closed. */
    epoch: z.number(),
    ownerName: z.string(),
  }),
  openWorker: z.object({
    /** Identifies the worker in later calls on this channel. */
    handle: Handle,
    worker: WorkerDescription,
  }),
  /** Sent once per payload, since the tasks of a submission share it. */
  cachePayload: z.object({
    payloadKey: z.number().int(),
    payload: z.string(),
  }),
  clearPayloads: z.object({}),
  start: z.object({
    handle: Handle,
    payloadKey: z.number().int(),
    order: z.object({
      taskName: z.string(),
      attempt: z.number(),
      leaseEndWorkerMilliseconds: z.number(),
      fence: z.number(),
      checkpoint: z.string(),
      ticket: z.string(),
    }),
  }),
  startResult: z.union([
    z.object({kind: z.literal('started'), clock: z.number().optional()}),
    z.object({
      kind: z.literal('refused'),
      reason: z.enum([
        'fenced',
        'superseded',
        'late',
        'no-room',
        'ticket-expired',
        'unhealthy',
        'other-life',
        'invalid',
      ]),
      clock: z.number().optional(),
    }),
    z.object({kind: z.literal('uncertain'), cause: z.string()}),
  ]),
  stop: z.object({
    handle: Handle,
    taskName: z.string(),
    attempt: z.number(),
    fence: z.number(),
  }),
  pace: z.object({
    handle: Handle,
    taskName: z.string(),
    attempt: z.number(),
    percent: z.number(),
    fence: z.number(),
  }),
  orderResult: z.object({failure: Failure.optional()}),
  poll: z.object({
    handle: Handle,
    order: z.object({
      leaseEndWorkerMilliseconds: z.number().optional(),
      fence: z.number(),
      acknowledgedEnd: z.number(),
      waitMilliseconds: z.number(),
    }),
  }),
  pollResult: z.object({
    failure: Failure.optional(),
    report: z
      .object({
        clock: z.number(),
        bornAtUnixMilliseconds: z.number(),
        running: z.array(RunningTask),
        ends: z.array(RunEnd),
        hasMoreEnds: z.boolean().default(false),
      })
      .optional(),
  }),
};
