import type {
  PollOrder,
  StartOrder,
  StartOutcome,
  WorkerLink,
  WorkerReport,
} from '@cardamomfield/cell-model';
import type {ManualClock, RandomSource} from '@cardamomfield/clock';
import {
  RefusedError,
  type TypedError,
  UncertainError,
} from '@cardamomfield/errors';
import {type Either, Left, Right} from 'purify-ts';
import type {FreezableClock} from './freezable_clock.js';
import type {MemoryCellWorker} from './memory_cell_worker.js';

const CALL_MILLISECONDS = 3;
const TIMEOUT_MILLISECONDS = 300;

/** An order without an answer is carried out up to this much later. */
const LATEST_MILLISECONDS = 6_000;

/** Pause between two checks of a look that waits for an end. */
const WAIT_STEP_MILLISECONDS = 50;

/** Faults on the way from one host to one worker. */
interface LinkFaults {
  isCut: boolean;
  /** Share of orders that get no answer and are carried out late. */
  lateShare: number;
}

/** One host's way to one worker, with faults. */
export class MemoryCellLink implements WorkerLink {
  private constructor(
    private readonly worker: MemoryCellWorker,
    private readonly faults: LinkFaults,
    private readonly base: ManualClock,
    private readonly clock: FreezableClock,
    private readonly random: RandomSource,
  ) {}

  static create(
    worker: MemoryCellWorker,
    faults: LinkFaults,
    base: ManualClock,
    clock: FreezableClock,
    random: RandomSource,
  ): MemoryCellLink {
    return new MemoryCellLink(worker, faults, base, clock, random);
  }

  async start(order: StartOrder): Promise<StartOutcome> {
    const result = await this.send(() => this.worker.start(order));
    return result ?? {kind: 'uncertain', cause: 'no answer'};
  }

  async stop(
    taskName: string,
    attempt: number,
    fence: number,
  ): Promise<Either<TypedError, void>> {
    const result = await this.send(() =>
      this.worker.stop(taskName, attempt, fence),
    );
    if (result === undefined) return Left(UncertainError.create('no answer'));
    return result ? Right(undefined) : Left(RefusedError.create('fenced'));
  }

  async pace(): Promise<Either<TypedError, void>> {
    return Right(undefined);
  }

  async poll(order: PollOrder): Promise<Either<TypedError, WorkerReport>> {
    const endsAt = this.base.monotonicNow() + order.waitMilliseconds;
    const {life} = this.worker;
    const first = await this.send(
      () => this.worker.look(order) ?? 'fenced',
      'written',
    );
    if (first === undefined) return Left(UncertainError.create('no answer'));
    while (!this.worker.hasEnds && this.base.monotonicNow() < endsAt) {
      await this.pass(WAIT_STEP_MILLISECONDS);
    }
    if (this.faults.isCut || this.worker.life !== life) {
      await this.pass(TIMEOUT_MILLISECONDS);
      return Left(UncertainError.create('no answer'));
    }
    const report = this.worker.look(order);
    await this.clock.running();
    return report ? Right(report) : Left(RefusedError.create('fenced'));
  }

  close(): void {}

  /**
   * A call that was written to its connection arrives although its sender
   * freezes; a queued one may leave only after the freeze. Looks have a
   * connection of their own and never queue.
   */
  private async send<Result>(
    carryOut: () => Result,
    state: 'queued' | 'written' = 'queued',
  ): Promise<Result | undefined> {
    await this.base.sleepUntil(this.base.monotonicNow() + CALL_MILLISECONDS);
    if (state === 'queued') await this.clock.running();
    const isReached = !this.faults.isCut && this.worker.isUp;
    if (isReached && this.random.fraction() >= this.faults.lateShare) {
      const result = carryOut();
      await this.clock.running();
      return result;
    }
    if (isReached) {
      const delay = this.random.integerBelow(LATEST_MILLISECONDS);
      const {life} = this.worker;
      // A late order ends with the process that received it.
      void this.base
        .sleepUntil(this.base.monotonicNow() + delay)
        .then(() => this.worker.life === life && carryOut());
    }
    await this.pass(TIMEOUT_MILLISECONDS);
    return undefined;
  }

  private async pass(milliseconds: number): Promise<void> {
    await this.base.sleepUntil(this.base.monotonicNow() + milliseconds);
    await this.clock.running();
  }
}
