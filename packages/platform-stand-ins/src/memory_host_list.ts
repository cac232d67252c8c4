import type {Clock} from '@cardamomfield/clock';
import {UnavailableError} from '@cardamomfield/errors';
import type {HostEntry, HostList} from '@cardamomfield/platform';
import type {Either} from 'purify-ts';
import type {FaultInjector} from './fault_injector.js';
import {HostListService} from './host_list_service.js';
import {MemoryTransport} from './memory_transport.js';

interface MemoryHostListOptions {
  clock: Clock;
  /** Can be shared by several clients; defaults to a new, empty list. */
  service?: HostListService;
}

/** In-memory client of one process for a host list. */
export class MemoryHostList implements HostList {
  private constructor(
    readonly service: HostListService,
    private readonly transport: MemoryTransport,
  ) {}

  static create(options: MemoryHostListOptions): MemoryHostList {
    const service =
      options.service ?? HostListService.create({clock: options.clock});
    return new MemoryHostList(service, MemoryTransport.create(options.clock));
  }

  /** Faults that affect this client only. */
  get faults(): FaultInjector {
    return this.transport.faults;
  }

  async list(deadline: number): Promise<Either<UnavailableError, HostEntry[]>> {
    const result = await this.transport.call({
      isWrite: false,
      deadline,
      effect: () => this.service.list(),
    });
    return result.mapLeft(error =>
      error instanceof UnavailableError
        ? error
        : UnavailableError.create(error.message),
    );
  }
}
