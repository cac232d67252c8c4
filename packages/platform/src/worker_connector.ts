import type {Worker} from '@cardamomfield/types';
import type {WorkerClient} from './worker_client.js';

/** Creates clients for the workers in the inventory. */
export interface WorkerConnector {
  connect(worker: Worker): WorkerClient;
}
