import {Rack, Service, Team, Worker} from '@cardamomfield/types';
import {z} from 'zod';

/** A worker in a file. Without a state, it keeps its current one. */
const FileWorker = Worker.extend({state: Worker.shape.state.optional()});

/**
 * An inventory as operators write it, in YAML or JSON. Every list is required,
 * because a list that was left out by mistake would remove all its items.
 */
export const InventoryFile = z.strictObject({
  racks: z.array(Rack),
  teams: z.array(Team),
  services: z.array(Service),
  workers: z.array(FileWorker),
});
export type InventoryFile = z.infer<typeof InventoryFile>;
