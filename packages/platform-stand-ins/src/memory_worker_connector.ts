import type {Clock} from '@cardamomfield/clock';
import type {WorkerConnector} from '@cardamomfield/platform';
import type {Worker} from '@cardamomfield/types';
import {MemoryWorkerClient} from './memory_worker_client.js';
import {WorkerService} from './worker_service.js';

interface MemoryWorkerConnectorOptions {
  clock: Clock;
  /** Workers by name, which the connectors of several processes can share. */
  services?: Map<string, WorkerService>;
}

/** Creates the in-memory worker clients of one process. */
export class MemoryWorkerConnector implements WorkerConnector {
  private readonly workers = new Map<string, MemoryWorkerClient>();

  private constructor(
    private readonly clock: Clock,
    /** Workers by name; a missing worker is unreachable. */
    readonly services: Map<string, WorkerService>,
  ) {}

  static create(options: MemoryWorkerConnectorOptions): MemoryWorkerConnector {
    return new MemoryWorkerConnector(
      options.clock,
      options.services ?? new Map(),
    );
  }

  connect(worker: Worker): MemoryWorkerClient {
    const known = this.workers.get(worker.name);
    if (known) return known;
    const created = MemoryWorkerClient.create({
      clock: this.clock,
      service:
        this.services.get(worker.name) ?? this.createUnreachable(worker.name),
    });
    if (this.services.has(worker.name)) this.workers.set(worker.name, created);
    return created;
  }

  private createUnreachable(name: string): WorkerService {
    const service = WorkerService.create({name, clock: this.clock});
    service.faults.set({outage: true});
    return service;
  }
}
