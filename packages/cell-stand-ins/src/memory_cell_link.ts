import type {
  PollOrder,
  StartOrder,
  StartOutcome,
  WorkerLink,
  WorkerReport,
} from '@cardamomfield/cell-model';
import {
  CallDeadline,
  type ManualClock,
  type RandomSource,
} from '@cardamomfield/clock';
import {
  RefusedError,
  type TypedError,
  UncertainError,
} from '@cardamomfield/errors';
import {type Either, Left, Right} from 'purify-ts';
import type {PausableClock} from './pausable_clock.js';
import type {MemoryCellWorker} from './memory_cell_worker.js';

const CALL_MILLISECONDS = 3;
const TIMEOUT_MILLISECONDS = 300;

/** Longest delay after which an unanswered order is still carried out. */
const LONGEST_DELAY_MILLISECONDS = 6_000;

/** Interval at which a waiting poll checks for ended runs. */
const CHECK_INTERVAL_MILLISECONDS = 50;

/** Faults of the connection from one host to one worker. */
interface LinkFaults {
  isPartitioned: boolean;
  /** Probability that an order gets no answer and is carried out late. */
  delayProbability: number;
}

/** Simulated connection from one host to one worker, with faults. */
export class MemoryCellLink implements WorkerLink {
  private constructor(
    private readonly worker: MemoryCellWorker,
    private readonly faults: LinkFaults,
    private readonly virtualClock: ManualClock,
    private readonly clock: PausableClock,
    private readonly random: RandomSource,
    private readonly sendsOverdueCalls: boolean,
  ) {}

  static create(
    worker: MemoryCellWorker,
    faults: LinkFaults,
    virtualClock: ManualClock,
    clock: PausableClock,
    random: RandomSource,
    sendsOverdueCalls = false,
  ): MemoryCellLink {
    return new MemoryCellLink(
      worker,
      faults,
      virtualClock,
      clock,
      random,
      sendsOverdueCalls,
    );
  }

  async start(order: StartOrder): Promise<StartOutcome> {
    const result = await this.send(sentAt => this.worker.start(order, sentAt));
    return result ?? {kind: 'uncertain', cause: 'no answer'};
  }

  async stop(
    taskName: string,
    attempt: number,
    fencingToken: number,
  ): Promise<Either<TypedError, void>> {
    const result = await this.send(() =>
      this.worker.stop(taskName, attempt, fencingToken),
    );
    if (result === undefined) return Left(UncertainError.create('no answer'));
    if (this.worker.isReplaced) return Left(replacedError());
    return result ? Right(undefined) : Left(RefusedError.create('fenced'));
  }

  async pace(): Promise<Either<TypedError, void>> {
    return Right(undefined);
  }

  async poll(order: PollOrder): Promise<Either<TypedError, WorkerReport>> {
    const endsAt = this.virtualClock.monotonicNow() + order.waitMilliseconds;
    const {incarnation} = this.worker;
    const first = await this.send(
      () => this.worker.poll(order) ?? 'fenced',
      'written',
    );
    if (first === undefined) return Left(UncertainError.create('no answer'));
    if (this.worker.isReplaced) return Left(replacedError());
    while (
      !this.worker.hasEndedRuns &&
      this.virtualClock.monotonicNow() < endsAt
    ) {
      await this.sleep(CHECK_INTERVAL_MILLISECONDS);
    }
    const isReached =
      !this.faults.isPartitioned &&
      !this.worker.isPaused &&
      this.worker.incarnation === incarnation;
    if (!isReached) {
      await this.sleep(TIMEOUT_MILLISECONDS);
      return Left(UncertainError.create('no answer'));
    }
    const report = this.worker.poll(order);
    await this.clock.whenRunning();
    return report ? Right(report) : Left(RefusedError.create('fenced'));
  }

  close(): void {}

  /**
   * A call that was already written to its connection arrives even if the
   * sending process is paused. A queued call may be sent only after the pause,
   * up to its time limit. Polls have a connection of their own and are never
   * queued.
   */
  private async send<Result>(
    perform: (sentAt: number) => Result,
    state: 'queued' | 'written' = 'queued',
  ): Promise<Result | undefined> {
    const deadline = CallDeadline.create(this.clock, TIMEOUT_MILLISECONDS);
    await this.virtualClock.sleepUntil(
      this.virtualClock.monotonicNow() + CALL_MILLISECONDS,
    );
    if (state === 'queued') {
      await this.clock.whenRunning();
      if (deadline.hasPassed && !this.sendsOverdueCalls) return undefined;
    }
    const sentAt = this.virtualClock.monotonicNow();
    const execute = () => perform(sentAt);
    const isReached = !this.faults.isPartitioned && this.worker.isUp;
    if (isReached && this.worker.isPaused) {
      void this.executeAfterPause(execute);
      await this.sleep(TIMEOUT_MILLISECONDS);
      return undefined;
    }
    if (isReached && this.random.fraction() >= this.faults.delayProbability) {
      const result = execute();
      await this.clock.whenRunning();
      return result;
    }
    if (isReached) {
      const delay = this.random.integerBelow(LONGEST_DELAY_MILLISECONDS);
      const {incarnation} = this.worker;
      // A delayed order is lost if the worker restarts in the meantime.
      void this.virtualClock
        .sleepUntil(this.virtualClock.monotonicNow() + delay)
        .then(() => this.worker.incarnation === incarnation && execute());
    }
    await this.sleep(TIMEOUT_MILLISECONDS);
    return undefined;
  }

  /** A paused worker carries out orders that have arrived once it runs again. */
  private async executeAfterPause(execute: () => unknown): Promise<void> {
    const {incarnation} = this.worker;
    const latestAt =
      this.virtualClock.monotonicNow() + LONGEST_DELAY_MILLISECONDS;
    await this.worker.whenResumed();
    if (this.worker.incarnation !== incarnation) return;
    if (this.virtualClock.monotonicNow() <= latestAt) execute();
  }

  private async sleep(milliseconds: number): Promise<void> {
    await this.virtualClock.sleepUntil(
      this.virtualClock.monotonicNow() + milliseconds,
    );
    await this.clock.whenRunning();
  }
}

function replacedError(): RefusedError {
  return RefusedError.create('another worker answered', {reason: 'other-life'});
}
