import type {Clock} from '@cardamomfield/clock';
import {
  type InvalidInputError,
  NotFoundError,
  UnavailableError,
  type UncertainError,
} from '@cardamomfield/errors';
import type {LogPage, PlatformLog} from '@cardamomfield/platform';
import type {Either} from 'purify-ts';
import type {FaultGate} from './fault_gate.js';
import {LogService} from './log_service.js';
import {MemoryLink} from './memory_link.js';

type AppendOptions = Parameters<PlatformLog['append']>[0];
type ReadOptions = Parameters<PlatformLog['read']>[0];

interface MemoryPlatformLogOptions {
  clock: Clock;
  /** Shared by several clients; absent: an own one with default settings. */
  service?: LogService;
}

/** One process's client of a log service in memory. */
export class MemoryPlatformLog implements PlatformLog {
  private constructor(
    /** The service, with the faults that all its clients see. */
    readonly service: LogService,
    private readonly link: MemoryLink,
  ) {}

  static create(options: MemoryPlatformLogOptions): MemoryPlatformLog {
    const service =
      options.service ?? LogService.create({clock: options.clock});
    return new MemoryPlatformLog(service, MemoryLink.create(options.clock));
  }

  /** Faults that this client only sees. */
  get faults(): FaultGate {
    return this.link.faults;
  }

  append(
    options: AppendOptions,
  ): Promise<
    Either<UnavailableError | UncertainError | InvalidInputError, number>
  > {
    return this.link.call({
      isWrite: true,
      deadline: options.deadline,
      effect: () => this.service.append(options.stream, options.body),
    });
  }

  async read(
    options: ReadOptions,
  ): Promise<Either<UnavailableError | NotFoundError, LogPage>> {
    const result = await this.link.call({
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
