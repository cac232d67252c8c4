import type {Clock} from '@cardamomfield/clock';
import type {WorkerClient, WorkerConnector} from '@cardamomfield/platform';
import type {Worker} from '@cardamomfield/types';
import {HttpJsonClient} from './http_json_client.js';
import {HttpWorkerClient} from './http_worker_client.js';

interface HttpWorkerConnectorOptions {
  clock: Clock;
  clockSkewMilliseconds?: number;
}

/** Creates HTTP clients; clients of one address share their connections. */
export class HttpWorkerConnector implements WorkerConnector {
  private readonly clients = new Map<string, HttpJsonClient>();

  private constructor(private readonly options: HttpWorkerConnectorOptions) {}

  static create(options: HttpWorkerConnectorOptions): HttpWorkerConnector {
    return new HttpWorkerConnector(options);
  }

  connect(worker: Worker): WorkerClient {
    return HttpWorkerClient.create(this.clientFor(worker.address));
  }

  /** Aborts all calls and closes all connections. */
  async close(): Promise<void> {
    const clients = [...this.clients.values()];
    this.clients.clear();
    await Promise.all(clients.map(client => client.close()));
  }

  private clientFor(address: string): HttpJsonClient {
    const existing = this.clients.get(address);
    if (existing) return existing;
    const client = HttpJsonClient.create({...this.options, address});
    this.clients.set(address, client);
    return client;
  }
}
