import type {AdviceWish, StepState} from '@cardamomfield/cell-scheduler';
import type {WorkerState} from '@cardamomfield/cell-scheduler';
import type {Clock} from '@cardamomfield/clock';
import type {Logger} from '@cardamomfield/logger';
import type {Metrics} from '@cardamomfield/metrics';
import type {AdviceChannel} from './advice_channel.js';

/** A question that takes less than this is short. */
const SHORT_QUESTION_MILLISECONDS = 200;

/** Share of the channels kept free of long questions. */
const SHORT_CHANNEL_SHARE = 0.25;

/** Long questions that wait on one channel, the running one included. */
const LONG_QUESTIONS_PER_CHANNEL = 2;

/** Most questions of any length on one channel; the service refuses over 32. */
const QUESTIONS_PER_CHANNEL = 12;

/** Added to the expected time of an answer before it is given up. */
const ANSWER_SLACK_MILLISECONDS = 1_500;

/** Pause after a question that was not answered. */
const RETRY_PAUSE_MILLISECONDS = 250;

/** How long a channel that failed is passed over. */
const CHANNEL_PAUSE_MILLISECONDS = 1_000;

interface ChannelLoad {
  questions: number;
  longQuestions: number;
  expectedMilliseconds: number;
  /** Monotonic deadline before which the channel is not used. */
  notBefore: number;
}

interface AdviceDeskOptions {
  channels: () => AdviceChannel[];
  workers: ReadonlyMap<string, WorkerState>;
  clock: Clock;
  logger: Logger;
  metrics: Metrics;
  onChange: () => void;
}

/**
 * Spreads questions for the advice service over the hosts, since the service
 * takes the calls of one host in turn.
 */
export class AdviceDesk {
  private readonly loads = new Map<string, ChannelLoad>();

  private constructor(private readonly options: AdviceDeskOptions) {}

  static create(options: AdviceDeskOptions): AdviceDesk {
    return new AdviceDesk(options);
  }

  /** Sends as many of the questions as the channels can take now. */
  send(wishes: AdviceWish[]): void {
    const channels = this.options.channels();
    for (const wish of wishes) {
      const expected = expectedMilliseconds(wish);
      const channel = this.pick(channels, expected);
      if (channel) void this.ask(wish, channel, expected);
    }
  }

  private pick(
    channels: AdviceChannel[],
    expected: number,
  ): AdviceChannel | undefined {
    const now = this.options.clock.monotonicNow();
    const isLong = expected >= SHORT_QUESTION_MILLISECONDS;
    const reserved = Math.floor(channels.length * SHORT_CHANNEL_SHARE);
    const usable = isLong ? channels.slice(reserved) : channels;
    let best: AdviceChannel | undefined;
    let bestExpected = Infinity;
    for (const channel of usable) {
      const load = this.loadOf(channel.hostName);
      if (load.notBefore > now) continue;
      if (load.questions >= QUESTIONS_PER_CHANNEL) continue;
      if (isLong && load.longQuestions >= LONG_QUESTIONS_PER_CHANNEL) continue;
      if (load.expectedMilliseconds < bestExpected) {
        best = channel;
        bestExpected = load.expectedMilliseconds;
      }
    }
    return best;
  }

  private async ask(
    wish: AdviceWish,
    channel: AdviceChannel,
    expected: number,
  ): Promise<void> {
    const {clock, logger, metrics} = this.options;
    const {step} = wish;
    const load = this.loadOf(channel.hostName);
    const isLong = expected >= SHORT_QUESTION_MILLISECONDS;
    const timeout = load.expectedMilliseconds + expected;
    step.advice.isAsking = true;
    load.questions++;
    load.expectedMilliseconds += expected;
    if (isLong) load.longQuestions++;
    const lives = new Map(
      wish.workerIds.map(id => [id, this.bornAt(id)] as const),
    );
    const sentAt = clock.monotonicNow();
    const result = await channel.adviser.ask(
      step.name,
      wish.workerIds,
      timeout + ANSWER_SLACK_MILLISECONDS,
    );
    const now = clock.monotonicNow();
    load.questions--;
    load.expectedMilliseconds -= expected;
    if (isLong) load.longQuestions--;
    step.advice.isAsking = false;
    if (result.isLeft()) {
      load.notBefore = now + CHANNEL_PAUSE_MILLISECONDS;
      step.advice.notBefore = now + RETRY_PAUSE_MILLISECONDS;
    } else {
      const advice = result.unsafeCoerce();
      takeTickets(step, lives, advice.tickets, now + advice.validMilliseconds);
    }
    metrics.timing('advice_milliseconds', now - sentAt, {
      outcome: result.isRight() ? 'answered' : 'failed',
    });
    logger.info('advice', {
      step: step.name,
      host: channel.hostName,
      named: wish.workerIds.length,
      approved: result.isRight() ? result.unsafeCoerce().tickets.size : 0,
      milliseconds: Math.round(now - sentAt),
      ...(result.isLeft() ? {cause: (result.extract() as Error).message} : {}),
    });
    this.options.onChange();
  }

  private bornAt(workerId: string): number {
    return (
      this.options.workers.get(workerId)?.description.bornAtUnixMilliseconds ??
      0
    );
  }

  private loadOf(hostName: string): ChannelLoad {
    const known = this.loads.get(hostName);
    if (known) return known;
    const load = {
      questions: 0,
      longQuestions: 0,
      expectedMilliseconds: 0,
      notBefore: 0,
    };
    this.loads.set(hostName, load);
    return load;
  }
}

function expectedMilliseconds(wish: AdviceWish): number {
  const advice = wish.step.submission.queue.advice;
  if (!advice) return 0;
  return (
    advice.decisionMilliseconds +
    advice.perWorkerMilliseconds * wish.workerIds.length
  );
}

function takeTickets(
  step: StepState,
  lives: ReadonlyMap<string, number>,
  tickets: ReadonlyMap<string, string>,
  validUntil: number,
): void {
  for (const [id, workerBornAt] of lives) {
    step.advice.asked.add(`${id}@${workerBornAt}`);
    const ticket = tickets.get(id);
    if (ticket === undefined) step.advice.tickets.delete(id);
    else step.advice.tickets.set(id, {ticket, workerBornAt, validUntil});
  }
}
