import {
  NotFoundError,
  UnavailableError,
  UncertainError,
} from '@cardamomfield/errors';
import type {LogPage, PlatformLog} from '@cardamomfield/platform';
import {type Either, Left, Right} from 'purify-ts';
import type {SimulatedClock} from './simulated_clock.js';
import type {SimulatedLife} from './simulated_life.js';
import type {SimulatedLog} from './simulated_log.js';
import type {SimulatedWorld} from './simulated_world.js';

type AppendResult = Awaited<ReturnType<PlatformLog['append']>>;
type ReadResult = Awaited<ReturnType<PlatformLog['read']>>;

interface SimulatedLogClientOptions {
  world: SimulatedWorld;
  log: SimulatedLog;
  host: string;
  life: SimulatedLife;
  clock: SimulatedClock;
}

/** The log service as one process reaches it. */
export class SimulatedLogClient implements PlatformLog {
  private constructor(private readonly options: SimulatedLogClientOptions) {}

  static create(options: SimulatedLogClientOptions): SimulatedLogClient {
    return new SimulatedLogClient(options);
  }

  append(options: Parameters<PlatformLog['append']>[0]): Promise<AppendResult> {
    const {log, world} = this.options;
    return this.exchange<AppendResult>(
      options.deadline,
      () => Left(UncertainError.create('append answer lost')),
      answer => {
        const offset = log.append(options.body);
        if (world.random.fraction() >= log.lostAnswers) answer(Right(offset));
      },
    );
  }

  read(options: Parameters<PlatformLog['read']>[0]): Promise<ReadResult> {
    const {log} = this.options;
    return this.exchange<ReadResult>(
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

  private exchange<Result extends Either<unknown, unknown>>(
    deadline: number,
    late: () => Result,
    serve: (answer: (result: Result) => void) => void,
  ): Promise<Result> {
    const {clock, host, life, log, world} = this.options;
    log.calls += 1;
    return new Promise(resolve => {
      const end = clock.globalInstant(deadline);
      const timer = world.schedule(end, () => resolve(late()), life);
      if (log.unreachableFor.has(host)) {
        // Half of the calls fail at once, the others hang.
        if (world.random.fraction() < 0.5) return;
        const refused = Left(UnavailableError.create('log unreachable'));
        const finish = () => {
          timer.cancel();
          resolve(refused as unknown as Result);
        };
        world.schedule(world.now() + 1, finish, life);
        return;
      }
      world.schedule(world.now() + log.delay(), () =>
        serve(result => {
          const finish = () => {
            timer.cancel();
            resolve(result);
          };
          world.schedule(world.now() + log.delay(), finish, life);
        }),
      );
    });
  }
}
