import {z} from 'zod';
import {definePeerMethod} from './define_peer_method.js';
import {PlacementOrder} from './placement_order.js';

/** Coordinator to owner: queue tasks. The owner accepts all or none. */
export const PLACE_TASKS = definePeerMethod(
  'place',
  PlacementOrder,
  z.strictObject({}),
);
