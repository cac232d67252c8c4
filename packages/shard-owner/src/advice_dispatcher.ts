import type {Advice} from '@cardamomfield/cell-model';
import type {
  AdviceQuery,
  AdviceRoom,
  StepState,
  WorkerState,
} from '@cardamomfield/cell-scheduler';
import type {Clock} from '@cardamomfield/clock';
import {
  RefusedError,
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

/**
 * How long a channel is not used after a failed query; doubled by each further
 * failure in a row.
 */
const CHANNEL_BACKOFF_MILLISECONDS = 1_000;

/** Limits the backoff, so that a host that is back is soon used again. */
const MAXIMUM_CHANNEL_BACKOFF_MILLISECONDS = 8_000;

/** A host whose last answer is older than this may have gone since. */
const RECENT_ANSWER_MILLISECONDS = 10_000;

/**
 * Added to the expected response time of a channel without a recent answer. A
 * query waits this long for a channel known to answer instead.
 */
const UNPROVEN_CHANNEL_MILLISECONDS = 500;

/** Applies instead after a failed query: the wait for another time-out. */
const FAILED_CHANNEL_MILLISECONDS = TIMEOUT_MARGIN_MILLISECONDS;

interface ChannelLoad {
  queries: number;
  longQueries: number;
  expectedMilliseconds: number;
  /** Failures in a row; queries in flight at the same time count once. */
  failures: number;
  /** Monotonic times; -Infinity if never. */
  failedAt: number;
  answeredAt: number;
  /** Monotonic deadline before which the channel is not used. */
  notBefore: number;
}

interface LoadedChannel {
  channel: AdviceChannel;
  load: ChannelLoad;
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
export class AdviceDispatcher implements AdviceRoom {
  private readonly loads = new Map<string, ChannelLoad>();
  /** Monotonic time of the last answer through any channel. */
  private answeredAt = -Infinity;

  private constructor(private readonly options: AdviceDispatcherOptions) {}

  static create(options: AdviceDispatcherOptions): AdviceDispatcher {
    return new AdviceDispatcher(options);
  }

  /**
   * Number of queries for a step that the channels have capacity for. A query
   * that names few workers counts as one that names none.
   */
  countFor(step: StepState): number {
    const now = this.options.clock.monotonicNow();
    const isLong =
      expectedMilliseconds({step, workerIds: []}) >= LONG_QUERY_MILLISECONDS;
    const channels = this.loadedChannels();
    return (isLong ? withoutReserved(channels) : channels).reduce(
      (sum, {load}) => sum + roomOf(load, isLong, now),
      0,
    );
  }

  /**
   * Expected time until queries of the given time in sum, which have not been
   * sent, are answered after those in flight. Channels that failed count too,
   * since they are used again soon. 0 while no query is in flight or no channel
   * can be used: the steps then do not wait for busy channels.
   */
  waitMilliseconds(unsentMilliseconds: number): number {
    const now = this.options.clock.monotonicNow();
    const channels = this.loadedChannels();
    if (!channels.some(({load}) => load.notBefore <= now)) return 0;
    const sent = channels.reduce(
      (sum, {load}) => sum + load.expectedMilliseconds,
      0,
    );
    return sent === 0 ? 0 : (sent + unsentMilliseconds) / channels.length;
  }

  /** Sends as many of the queries as the channels have capacity for. */
  send(queries: AdviceQuery[]): void {
    if (queries.length === 0) return;
    const channels = this.loadedChannels();
    const longQueryChannels = withoutReserved(channels);
    for (const query of queries) {
      const expected = expectedMilliseconds(query);
      const isLong = expected >= LONG_QUERY_MILLISECONDS;
      const channel = this.pickChannel(
        isLong ? longQueryChannels : channels,
        isLong,
      );
      if (channel) void this.sendQuery(query, channel, expected);
    }
  }

  private loadedChannels(): LoadedChannel[] {
    return this.options
      .channels()
      .map(channel => ({channel, load: this.loadOf(channel.hostName)}));
  }

  /** Of channels that are equally good, the one that failed first comes next. */
  private pickChannel(
    channels: LoadedChannel[],
    isLong: boolean,
  ): AdviceChannel | undefined {
    const now = this.options.clock.monotonicNow();
    let best: LoadedChannel | undefined;
    let bestCost = Infinity;
    for (const candidate of channels) {
      const {load} = candidate;
      if (roomOf(load, isLong, now) === 0) continue;
      const cost = load.expectedMilliseconds + riskMilliseconds(load, now);
      const isBetter =
        cost < bestCost ||
        (cost === bestCost &&
          best !== undefined &&
          load.failedAt < best.load.failedAt);
      if (!isBetter) continue;
      best = candidate;
      bestCost = cost;
    }
    return best?.channel;
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
      // While no query is answered the advice service itself may be down. It
      // also decides which queries to refuse.
      const isChannelAtFault =
        this.answeredAt >= sentAt &&
        !(result.extract() instanceof RefusedError);
      recordFailure(load, sentAt, now, isChannelAtFault);
      step.advice.notBefore =
        now + (isChannelAtFault ? 0 : RETRY_DELAY_MILLISECONDS);
    } else {
      load.failures = 0;
      load.notBefore = 0;
      load.answeredAt = now;
      this.answeredAt = now;
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
      adviser: channel.hostName,
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
      failures: 0,
      failedAt: -Infinity,
      answeredAt: -Infinity,
      notBefore: 0,
    };
    this.loads.set(hostName, load);
    return load;
  }
}

/** The channels for long queries. Channels that failed are not reserved. */
function withoutReserved(channels: LoadedChannel[]): LoadedChannel[] {
  const working = channels.filter(({load}) => load.failures === 0).length;
  let reserved = Math.floor(working * SHORT_QUERY_CHANNEL_SHARE);
  return channels.filter(({load}) => load.failures > 0 || reserved-- <= 0);
}

/** Number of further queries that may be sent over a channel now. */
function roomOf(load: ChannelLoad, isLong: boolean, now: number): number {
  if (load.notBefore > now) return 0;
  const limit = load.failures > 0 ? 1 : QUERIES_PER_CHANNEL;
  const room = Math.max(0, limit - load.queries);
  if (!isLong) return room;
  return Math.min(
    room,
    Math.max(0, LONG_QUERIES_PER_CHANNEL - load.longQueries),
  );
}

/** The delay to be feared from a channel besides its load. */
function riskMilliseconds(load: ChannelLoad, now: number): number {
  if (load.failures > 0) return FAILED_CHANNEL_MILLISECONDS;
  const isProven = now - load.answeredAt < RECENT_ANSWER_MILLISECONDS;
  return isProven ? 0 : UNPROVEN_CHANNEL_MILLISECONDS;
}

function recordFailure(
  load: ChannelLoad,
  sentAt: number,
  now: number,
  isChannelAtFault: boolean,
): void {
  // Queries that were in flight at an earlier failure say nothing new.
  if (load.failures > 0 && sentAt < load.failedAt) return;
  load.failures = isChannelAtFault
    ? load.failures + 1
    : Math.max(1, load.failures);
  load.failedAt = now;
  const backoff = isChannelAtFault
    ? CHANNEL_BACKOFF_MILLISECONDS * 2 ** (load.failures - 1)
    : CHANNEL_BACKOFF_MILLISECONDS;
  load.notBefore =
    now + Math.min(MAXIMUM_CHANNEL_BACKOFF_MILLISECONDS, backoff);
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
