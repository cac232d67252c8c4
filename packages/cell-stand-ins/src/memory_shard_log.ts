import type {ShardLog, ShardRecord} from '@cardamomfield/cell-model';
import type {ManualClock, RandomSource} from '@cardamomfield/clock';
import {
  ConflictError,
  InvalidInputError,
  type TypedError,
  UnavailableError,
  UncertainError,
} from '@cardamomfield/errors';
import {type Either, Left, Right} from 'purify-ts';
import type {PausableClock} from './pausable_clock.js';
import type {MemoryShardStore} from './memory_shard_store.js';

/** Duration of a call without faults. */
const CALL_MILLISECONDS = 5;

/** Time-out of a call without an answer. */
const TIMEOUT_MILLISECONDS = 400;

/** Longest delay after which an unanswered append is still carried out. */
const LONGEST_DELAY_MILLISECONDS = 3_000;

/** Simulated connection from one host to the store, with faults. */
export class MemoryShardLog implements ShardLog {
  /** While true, the host cannot reach the store. */
  isPartitioned = false;
  /** Delay until the answer to an append arrives. */
  answerMilliseconds = 0;
  /** Probability that an append is delayed and its answer is lost. */
  lossProbability = 0;

  private constructor(
    private readonly store: MemoryShardStore,
    private readonly virtualClock: ManualClock,
    private readonly clock: PausableClock,
    private readonly random: RandomSource,
  ) {}

  static create(
    store: MemoryShardStore,
    virtualClock: ManualClock,
    clock: PausableClock,
    random: RandomSource,
  ): MemoryShardLog {
    return new MemoryShardLog(store, virtualClock, clock, random);
  }

  async append(
    records: ShardRecord[],
    epoch: number,
    sequence: number,
  ): Promise<Either<TypedError, void>> {
    const isLost = this.random.fraction() < this.lossProbability;
    if (isLost) {
      const delay = this.random.integerBelow(LONGEST_DELAY_MILLISECONDS);
      void this.virtualClock
        .sleepUntil(this.virtualClock.monotonicNow() + delay)
        .then(() => this.store.append(records, epoch, sequence));
      return this.timeOut();
    }
    const failure = await this.simulateCall();
    if (failure) return Left(failure);
    const result = this.store.append(records, epoch, sequence);
    await this.sleep(this.answerMilliseconds);
    if (result === 'appended') return Right(undefined);
    if (result === 'out-of-order') {
      return Left(
        UnavailableError.create('an earlier append is missing', {
          isOutOfOrder: true,
        }),
      );
    }
    if (result === 'too-large') {
      return Left(InvalidInputError.create('the records are too large'));
    }
    return Left(ConflictError.create('a higher epoch was seen'));
  }

  async confirmEpoch(epoch: number): Promise<Either<TypedError, void>> {
    const failure = await this.simulateCall();
    if (failure) return Left(failure);
    const isNewest = this.store.isNewestEpoch(epoch);
    await this.clock.whenRunning();
    if (isNewest) return Right(undefined);
    return Left(ConflictError.create('a higher epoch was seen'));
  }

  async readNewest(): Promise<Either<TypedError, ShardRecord[]>> {
    const failure = await this.simulateCall();
    if (failure) return Left(failure);
    const records = this.store.read();
    await this.clock.whenRunning();
    return Right(records);
  }

  private async simulateCall(): Promise<TypedError | undefined> {
    await this.sleep(CALL_MILLISECONDS);
    if (!this.isPartitioned && !this.store.isDown) return undefined;
    await this.sleep(TIMEOUT_MILLISECONDS);
    return UnavailableError.create('the store is not reachable');
  }

  private async timeOut(): Promise<Either<TypedError, never>> {
    await this.sleep(TIMEOUT_MILLISECONDS);
    return Left(UncertainError.create('the answer was lost'));
  }

  private async sleep(milliseconds: number): Promise<void> {
    await this.virtualClock.sleepUntil(
      this.virtualClock.monotonicNow() + milliseconds,
    );
    await this.clock.whenRunning();
  }
}
