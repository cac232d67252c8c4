import type {Clock} from '@cardamomfield/clock';
import type {WorkerClient, WorkerConnector} from '@cardamomfield/platform';
import type {Worker} from '@cardamomfield/types';
import {HttpCaller} from './http_caller.js';
import {HttpWorkerClient} from './http_worker_client.js';

interface HttpWorkerConnectorOptions {
  clock: Clock;
  clockSkewMilliseconds?: number;
}

/** Makes HTTP clients; clients of one address share their connections. */
export class HttpWorkerConnector implements WorkerConnector {
  private readonly callers = new Map<string, HttpCaller>();

  private constructor(private readonly options: HttpWorkerConnectorOptions) {}

  static create(options: HttpWorkerConnectorOptions): HttpWorkerConnector {
    return new HttpWorkerConnector(options);
  }

  connect(worker: Worker): WorkerClient {
    return HttpWorkerClient.create(this.callerFor(worker.address));
  }

  /** Ends all calls and connections. */
  async close(): Promise<void> {
    const callers = [...this.callers.values()];
    this.callers.clear();
    await Promise.all(callers.map(caller => caller.close()));
  }

  private callerFor(address: string): HttpCaller {
    const known = this.callers.get(address);
    if (known) return known;
    const caller = HttpCaller.create({...this.options, address});
    this.callers.set(address, caller);
    return caller;
  }
}
