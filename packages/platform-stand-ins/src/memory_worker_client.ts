import type {Clock} from '@cardamomfield/clock';
import {
  type NotFoundError,
  type RefusedError,
  UnavailableError,
  type UncertainError,
} from '@cardamomfield/errors';
import type {
  LeaseRenewal,
  TaskStart,
  WorkerClient,
  WorkerSnapshot,
} from '@cardamomfield/platform';
import type {TaskIdentity} from '@cardamomfield/types';
import type {Either} from 'purify-ts';
import type {FaultInjector} from './fault_injector.js';
import {MemoryTransport} from './memory_transport.js';
import type {WorkerService} from './worker_service.js';

type WatchOptions = Parameters<WorkerClient['watch']>[0];

interface MemoryWorkerOptions {
  clock: Clock;
  service: WorkerService;
}

/** In-memory client of one process for a worker. */
export class MemoryWorkerClient implements WorkerClient {
  private constructor(
    readonly service: WorkerService,
    private readonly transport: MemoryTransport,
  ) {}

  static create(options: MemoryWorkerOptions): MemoryWorkerClient {
    return new MemoryWorkerClient(
      options.service,
      MemoryTransport.create(options.clock),
    );
  }

  /** Faults that affect this client only. */
  get faults(): FaultInjector {
    return this.transport.faults;
  }

  start(
    start: TaskStart,
    deadline: number,
  ): Promise<Either<RefusedError | UnavailableError | UncertainError, void>> {
    const effect = () => this.service.start(start);
    return this.transport.call({isWrite: true, deadline, effect});
  }

  stop(
    task: TaskIdentity,
    deadline: number,
  ): Promise<Either<UnavailableError | UncertainError, void>> {
    const effect = () => this.service.stop(task);
    return this.transport.call({isWrite: true, deadline, effect});
  }

  checkpoint(
    task: TaskIdentity,
    deadline: number,
  ): Promise<
    Either<NotFoundError | UnavailableError | UncertainError, unknown>
  > {
    const effect = () => this.service.checkpoint(task);
    return this.transport.call({isWrite: true, deadline, effect});
  }

  throttle(
    task: TaskIdentity,
    processorMillicores: number,
    deadline: number,
  ): Promise<Either<NotFoundError | UnavailableError | UncertainError, void>> {
    const effect = () => this.service.throttle(task, processorMillicores);
    return this.transport.call({isWrite: true, deadline, effect});
  }

  renewLeases(
    renewals: readonly LeaseRenewal[],
    deadline: number,
  ): Promise<Either<UnavailableError | UncertainError, TaskIdentity[]>> {
    const effect = () => this.service.renewLeases(renewals);
    return this.transport.call({isWrite: true, deadline, effect});
  }

  async watch(
    options: WatchOptions,
  ): Promise<Either<UnavailableError, WorkerSnapshot>> {
    const result = await this.transport.call({
      isWrite: false,
      deadline: options.deadline,
      effect: () => this.service.watch(options),
    });
    return result.mapLeft(error =>
      error instanceof UnavailableError
        ? error
        : UnavailableError.create(error.message),
    );
  }
}
