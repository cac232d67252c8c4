import type {Clock} from '@cardamomfield/clock';
import {
  type InvalidInputError,
  NotFoundError,
  UnavailableError,
  type UncertainError,
} from '@cardamomfield/errors';
import type {LogPage, PlatformLog} from '@cardamomfield/platform';
import type {Either} from 'purify-ts';
import type {FaultInjector} from './fault_injector.js';
import {LogService} from './log_service.js';
import {MemoryTransport} from './memory_transport.js';

type AppendOptions = Parameters<PlatformLog['append']>[0];
type ReadOptions = Parameters<PlatformLog['read']>[0];

interface MemoryPlatformLogOptions {
  clock: Clock;
  /** Can be shared by several clients; defaults to a new service. */
  service?: LogService;
}

/** In-memory client of one process for a log service. */
export class MemoryPlatformLog implements PlatformLog {
  private constructor(
    /** The service. Its faults affect all of its clients. */
    readonly service: LogService,
    private readonly transport: MemoryTransport,
  ) {}

  static create(options: MemoryPlatformLogOptions): MemoryPlatformLog {
    const service =
      options.service ?? LogService.create({clock: options.clock});
    return new MemoryPlatformLog(
      service,
      MemoryTransport.create(options.clock),
    );
  }

  /** Faults that affect this client only. */
  get faults(): FaultInjector {
    return this.transport.faults;
  }

  append(
    options: AppendOptions,
  ): Promise<
    Either<UnavailableError | UncertainError | InvalidInputError, number>
  > {
    return this.transport.call({
      isWrite: true,
      deadline: options.deadline,
      effect: () => this.service.append(options.stream, options.body),
    });
  }

  async read(
    options: ReadOptions,
  ): Promise<Either<UnavailableError | NotFoundError, LogPage>> {
    const result = await this.transport.call({
      isWrite: false,
      deadline: options.deadline,
      effect: () => this.service.read(options),
    });
    return result.mapLeft(error =>
      error instanceof NotFoundError || error instanceof UnavailableError
        ? error
        : UnavailableError.create(error.message),
    );
  }
}
