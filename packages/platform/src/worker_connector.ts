import type {Worker} from '@cardamomfield/types';
import type {WorkerClient} from './worker_client.js';

/** Makes clients for the workers that the inventory lists. */
export interface WorkerConnector {
  connect(worker: Worker): WorkerClient;
}
