import type {RESOURCE_NAMES} from '@cardamomfield/types';

/** Reason why a job can never run on the inventory. */
export type NeverRunnable =
  | {reason: 'no-worker'; message: string}
  | {
      /** No worker is large enough for one task. */
      reason: 'task-too-large';
      resource: (typeof RESOURCE_NAMES)[number];
      demanded: number;
      /** Largest capacity of the resource on a suitable worker. */
      largestOffer: number;
      message: string;
    }
  | {
      /** All workers together can hold too few tasks for the gang. */
      reason: 'gang-too-large';
      /** The resource that allows the fewest tasks. */
      resource: (typeof RESOURCE_NAMES)[number];
      demanded: number;
      /** Largest number of tasks that run simultaneously on idle workers. */
      largestOffer: number;
      message: string;
    };
