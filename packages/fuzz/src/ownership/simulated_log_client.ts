import {
  NotFoundError,
  UnavailableError,
  UncertainError,
} from '@cardamomfield/errors';
import type {LogPage, PlatformLog} from '@cardamomfield/platform';
import {type Either, Left, Right} from 'purify-ts';
import type {SimulatedClock} from './simulated_clock.js';
import type {ProcessState} from './process_state.js';
import type {SimulatedLog} from './simulated_log.js';
import type {SimulationEngine} from './simulation_engine.js';

type AppendResult = Awaited<ReturnType<PlatformLog['append']>>;
type ReadResult = Awaited<ReturnType<PlatformLog['read']>>;

interface SimulatedLogClientOptions {
  engine: SimulationEngine;
  log: SimulatedLog;
  host: string;
  processState: ProcessState;
  clock: SimulatedClock;
}

/** Client of the simulated log service for one process. */
export class SimulatedLogClient implements PlatformLog {
  private constructor(private readonly options: SimulatedLogClientOptions) {}

  static create(options: SimulatedLogClientOptions): SimulatedLogClient {
    return new SimulatedLogClient(options);
  }

  append(options: Parameters<PlatformLog['append']>[0]): Promise<AppendResult> {
    const {log, engine} = this.options;
    return this.call<AppendResult>(
      options.deadline,
      () => Left(UncertainError.create('append answer lost')),
      answer => {
        const offset = log.append(options.body);
        if (engine.random.fraction() >= log.lostShare) answer(Right(offset));
      },
    );
  }

  read(options: Parameters<PlatformLog['read']>[0]): Promise<ReadResult> {
    const {log} = this.options;
    return this.call<ReadResult>(
      options.deadline,
      () => Left(UnavailableError.create('log read timed out')),
      answer => {
        const {clock} = this.options;
        const end = clock.globalInstant(options.waitUntil ?? -Infinity);
        log.whenReached(options.from, end, () =>
          answer(this.page(options.from, options.maximumRecords)),
        );
      },
    );
  }

  private page(from: number, maximumRecords: number): ReadResult {
    const {head, records} = this.options.log;
    if (from < head) return Left(NotFoundError.create('trimmed', {head}));
    const page: LogPage = {
      records: records.slice(from, from + maximumRecords),
      head,
      tail: records.length,
    };
    return Right(page);
  }

  private call<Result extends Either<unknown, unknown>>(
    deadline: number,
    createTimeoutResult: () => Result,
    serveRequest: (answer: (result: Result) => void) => void,
  ): Promise<Result> {
    const {clock, host, processState, log, engine} = this.options;
    log.calls += 1;
    return new Promise(resolve => {
      const end = clock.globalInstant(deadline);
      const timer = engine.schedule(
        end,
        () => resolve(createTimeoutResult()),
        processState,
      );
      if (log.unreachableFor.has(host)) {
        // Half of the calls fail immediately, the others time out.
        if (engine.random.fraction() < 0.5) return;
        const refused = Left(UnavailableError.create('log unreachable'));
        const finish = () => {
          timer.cancel();
          resolve(refused as unknown as Result);
        };
        engine.schedule(engine.now() + 1, finish, processState);
        return;
      }
      engine.schedule(engine.now() + log.delay(), () =>
        serveRequest(result => {
          const finish = () => {
            timer.cancel();
            resolve(result);
          };
          engine.schedule(engine.now() + log.delay(), finish, processState);
        }),
      );
    });
  }
}
