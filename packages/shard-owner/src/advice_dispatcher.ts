import type {Advice} from '@cardamomfield/cell-model';
import type {AdviceQuery, StepState} from '@cardamomfield/cell-scheduler';
import type {WorkerState} from '@cardamomfield/cell-scheduler';
import type {Clock} from '@cardamomfield/clock';
import {
  type TypedError,
  UncertainError,
  toTypedError,
} from '@cardamomfield/errors';
import type {Logger} from '@cardamomfield/logger';
import type {Metrics} from '@cardamomfield/metrics';
import {type Either, Left} from 'purify-ts';
import type {AdviceChannel} from './advice_channel.js';

/** Queries expected to take at least this long count as long. */
const LONG_QUERY_MILLISECONDS = 200;

/** Share of the channels that is reserved for short queries. */
const SHORT_QUERY_CHANNEL_SHARE = 0.25;

/** Maximum number of long queries in flight on one channel. */
const LONG_QUERIES_PER_CHANNEL = 2;

/**
 * Maximum number of queries of any length in flight on one channel. The advice
 * service refuses more than 32.
 */
const QUERIES_PER_CHANNEL = 12;

/** Added to the expected response time of a query to get its time-out. */
const TIMEOUT_MARGIN_MILLISECONDS = 1_500;

/** A query that is still unanswered this long after its time-out is given up. */
const GIVE_UP_MARGIN_MILLISECONDS = 500;

/** Delay before a step is queried again after a failed query. */
const RETRY_DELAY_MILLISECONDS = 250;

/** How long a channel is not used after a failed query. */
const CHANNEL_BACKOFF_MILLISECONDS = 1_000;

interface ChannelLoad {
  queries: number;
  longQueries: number;
  expectedMilliseconds: number;
  /** Monotonic deadline before which the channel is not used. */
  notBefore: number;
}

interface AdviceDispatcherOptions {
  channels: () => AdviceChannel[];
  workers: ReadonlyMap<string, WorkerState>;
  clock: Clock;
  logger: Logger;
  metrics: Metrics;
  onChange: () => void;
}

/**
 * Distributes queries to the advice service over the hosts, because the service
 * processes the calls of one host one at a time.
 */
export class AdviceDispatcher {
  private readonly loads = new Map<string, ChannelLoad>();

  private constructor(private readonly options: AdviceDispatcherOptions) {}

  static create(options: AdviceDispatcherOptions): AdviceDispatcher {
    return new AdviceDispatcher(options);
  }

  /** Sends as many of the queries as the channels have capacity for. */
  send(queries: AdviceQuery[]): void {
    const channels = this.options.channels();
    for (const query of queries) {
      const expected = expectedMilliseconds(query);
      const channel = this.pickChannel(channels, expected);
      if (channel) void this.sendQuery(query, channel, expected);
    }
  }

  private pickChannel(
    channels: AdviceChannel[],
    expected: number,
  ): AdviceChannel | undefined {
    const now = this.options.clock.monotonicNow();
    const isLong = expected >= LONG_QUERY_MILLISECONDS;
    const reserved = Math.floor(channels.length * SHORT_QUERY_CHANNEL_SHARE);
    const usable = isLong ? channels.slice(reserved) : channels;
    let best: AdviceChannel | undefined;
    let bestExpected = Infinity;
    for (const channel of usable) {
      const load = this.loadOf(channel.hostName);
      if (load.notBefore > now) continue;
      if (load.queries >= QUERIES_PER_CHANNEL) continue;
      if (isLong && load.longQueries >= LONG_QUERIES_PER_CHANNEL) continue;
      if (load.expectedMilliseconds < bestExpected) {
        best = channel;
        bestExpected = load.expectedMilliseconds;
      }
    }
    return best;
  }

  private async sendQuery(
    query: AdviceQuery,
    channel: AdviceChannel,
    expected: number,
  ): Promise<void> {
    const {clock, logger, metrics} = this.options;
    const {step} = query;
    const load = this.loadOf(channel.hostName);
    const isLong = expected >= LONG_QUERY_MILLISECONDS;
    const untilAnswer = load.expectedMilliseconds + expected;
    step.advice.isQueryInFlight = true;
    load.queries++;
    load.expectedMilliseconds += expected;
    if (isLong) load.longQueries++;
    const bornAt = new Map(
      query.workerIds.map(id => [id, this.bornAt(id)] as const),
    );
    const sentAt = clock.monotonicNow();
    const result = await this.ask(
      query,
      channel,
      untilAnswer + TIMEOUT_MARGIN_MILLISECONDS,
    );
    const now = clock.monotonicNow();
    load.queries--;
    load.expectedMilliseconds -= expected;
    if (isLong) load.longQueries--;
    step.advice.isQueryInFlight = false;
    if (result.isLeft()) {
      load.notBefore = now + CHANNEL_BACKOFF_MILLISECONDS;
      step.advice.notBefore = now + RETRY_DELAY_MILLISECONDS;
    } else {
      const advice = result.unsafeCoerce();
      // The validity counts from the service's answer. A late one may have been
      // under way for as long as it is late.
      const issuedAt = Math.min(now, sentAt + untilAnswer);
      const validUntil = issuedAt + advice.validMilliseconds;
      saveTickets(step, bornAt, advice.tickets, validUntil);
    }
    metrics.timing('advice_milliseconds', now - sentAt, {
      outcome: result.isRight() ? 'answered' : 'failed',
    });
    logger.info('advice queried', {
      step: step.name,
      host: channel.hostName,
      named: query.workerIds.length,
      approved: result.isRight() ? result.unsafeCoerce().tickets.size : 0,
      milliseconds: Math.round(now - sentAt),
      ...(result.isLeft() ? {cause: (result.extract() as Error).message} : {}),
    });
    this.options.onChange();
  }

  /**
   * Asks the service. Every outcome is a value, even an error that the client
   * raises or a call that never ends, so that the step can be queried again.
   */
  private async ask(
    {step, workerIds}: AdviceQuery,
    {adviser}: AdviceChannel,
    timeoutMilliseconds: number,
  ): Promise<Either<TypedError, Advice>> {
    const {clock} = this.options;
    const answered = new AbortController();
    const giveUpAt =
      clock.monotonicNow() + timeoutMilliseconds + GIVE_UP_MARGIN_MILLISECONDS;
    try {
      return await Promise.race([
        adviser.ask(step.name, workerIds, timeoutMilliseconds),
        clock
          .sleepUntil(giveUpAt, answered.signal)
          .then(() => Left(UncertainError.create('the query never ended'))),
      ]);
    } catch (thrown) {
      return Left(toTypedError(thrown));
    } finally {
      answered.abort();
    }
  }

  private bornAt(workerId: string): number {
    return (
      this.options.workers.get(workerId)?.description.bornAtUnixMilliseconds ??
      0
    );
  }

  private loadOf(hostName: string): ChannelLoad {
    const existing = this.loads.get(hostName);
    if (existing) return existing;
    const load = {
      queries: 0,
      longQueries: 0,
      expectedMilliseconds: 0,
      notBefore: 0,
    };
    this.loads.set(hostName, load);
    return load;
  }
}

function expectedMilliseconds(query: AdviceQuery): number {
  const advice = query.step.submission.queue.advice;
  if (!advice) return 0;
  return (
    advice.decisionMilliseconds +
    advice.perWorkerMilliseconds * query.workerIds.length
  );
}

function saveTickets(
  step: StepState,
  bornAt: ReadonlyMap<string, number>,
  tickets: ReadonlyMap<string, string>,
  validUntil: number,
): void {
  for (const [id, workerBornAt] of bornAt) {
    step.advice.queriedWorkers.add(`${id}@${workerBornAt}`);
    const ticket = tickets.get(id);
    if (ticket === undefined) step.advice.tickets.delete(id);
    else step.advice.tickets.set(id, {ticket, workerBornAt, validUntil});
  }
}
