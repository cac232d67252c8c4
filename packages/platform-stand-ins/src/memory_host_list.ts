import type {Clock} from '@cardamomfield/clock';
import {UnavailableError} from '@cardamomfield/errors';
import type {HostEntry, HostList} from '@cardamomfield/platform';
import type {Either} from 'purify-ts';
import type {FaultGate} from './fault_gate.js';
import {HostListService} from './host_list_service.js';
import {MemoryLink} from './memory_link.js';

interface MemoryHostListOptions {
  clock: Clock;
  /** Shared by several clients; absent: an own, empty one. */
  service?: HostListService;
}

/** One process's client of a host list in memory. */
export class MemoryHostList implements HostList {
  private constructor(
    readonly service: HostListService,
    private readonly link: MemoryLink,
  ) {}

  static create(options: MemoryHostListOptions): MemoryHostList {
    const service =
      options.service ?? HostListService.create({clock: options.clock});
    return new MemoryHostList(service, MemoryLink.create(options.clock));
  }

  /** Faults that this client only sees. */
  get faults(): FaultGate {
    return this.link.faults;
  }

  async list(deadline: number): Promise<Either<UnavailableError, HostEntry[]>> {
    const result = await this.link.call({
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
