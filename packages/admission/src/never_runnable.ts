import type {RESOURCE_NAMES} from '@cardamomfield/types';

/** Why no state of the inventory can run a job. */
export type NeverRunnable =
  | {reason: 'no-worker'; message: string}
  | {
      /** No worker is large enough for one task. */
      reason: 'task-too-large';
      resource: (typeof RESOURCE_NAMES)[number];
      demanded: number;
      /** Most of the resource that a suitable worker has. */
      largestOffer: number;
      message: string;
    }
  | {
      /** The whole inventory has too few places for the gang. */
      reason: 'gang-too-large';
      /** The resource that allows the fewest tasks. */
      resource: (typeof RESOURCE_NAMES)[number];
      demanded: number;
      /** Most tasks that run at once when all workers are empty. */
      largestOffer: number;
      message: string;
    };
