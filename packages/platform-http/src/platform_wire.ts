import {HostEntry, LeaseRenewal} from '@cardamomfield/platform';
import {TaskIdentity} from '@cardamomfield/types';
import {z} from 'zod';

/** Schemas of HTTP bodies that the package `platform` does not define. */
export const platformWire = {
  /** `POST /streams/:stream/records` */
  appendRequest: z.strictObject({body: z.json()}),
  appendAnswer: z.object({offset: z.int().nonnegative()}),

  /** `GET /hosts` */
  hostsAnswer: z.object({hosts: z.array(HostEntry)}),

  /** `POST /tasks/stop` and `POST /tasks/checkpoint` */
  taskRequest: z.strictObject({task: TaskIdentity}),
  checkpointAnswer: z.object({checkpoint: z.json()}),

  /** `POST /tasks/throttle` */
  throttleRequest: z.strictObject({
    task: TaskIdentity,
    processorMillicores: z.int().nonnegative(),
  }),

  /** `POST /leases` */
  renewRequest: z.strictObject({renewals: z.array(LeaseRenewal)}),
  renewAnswer: z.object({ended: z.array(TaskIdentity)}),

  /** Response to a call that returns no data. */
  emptyAnswer: z.object({}),
};
