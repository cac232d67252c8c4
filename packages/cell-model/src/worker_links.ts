import type {WorkerDescription} from './worker_description.js';
import type {WorkerLink} from './worker_link.js';

/** Opens links to workers. */
export interface WorkerLinks {
  open(worker: WorkerDescription): WorkerLink;
}
