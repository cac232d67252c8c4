import type {ShardLog, ShardRecord} from '@cardamomfield/cell-model';
import type {ManualClock, RandomSource} from '@cardamomfield/clock';
import {
  ConflictError,
  type TypedError,
  UnavailableError,
  UncertainError,
} from '@cardamomfield/errors';
import {type Either, Left, Right} from 'purify-ts';
import type {FreezableClock} from './freezable_clock.js';
import type {MemoryShardStore} from './memory_shard_store.js';

/** Time of a call when nothing is wrong. */
const CALL_MILLISECONDS = 5;

/** Time after which a call without an answer is given up. */
const TIMEOUT_MILLISECONDS = 400;

/** Longest time after which an unanswered append is still carried out. */
const LATEST_MILLISECONDS = 3_000;

/** One host's way to the store, with faults. */
export class MemoryShardLog implements ShardLog {
  /** The host cannot reach the store. */
  isCut = false;
  /** Time until the answer to an append arrives. */
  answerMilliseconds = 0;
  /** Share of appends whose answer is lost. */
  lostShare = 0;

  private constructor(
    private readonly store: MemoryShardStore,
    private readonly base: ManualClock,
    private readonly clock: FreezableClock,
    private readonly random: RandomSource,
  ) {}

  static create(
    store: MemoryShardStore,
    base: ManualClock,
    clock: FreezableClock,
    random: RandomSource,
  ): MemoryShardLog {
    return new MemoryShardLog(store, base, clock, random);
  }

  async append(
    records: ShardRecord[],
    epoch: number,
    sequence: number,
  ): Promise<Either<TypedError, void>> {
    const isLost = this.random.fraction() < this.lostShare;
    if (isLost) {
      const delay = this.random.integerBelow(LATEST_MILLISECONDS);
      void this.base
        .sleepUntil(this.base.monotonicNow() + delay)
        .then(() => this.store.append(records, epoch, sequence));
      return this.timeOut();
    }
    const failure = await this.reach();
    if (failure) return Left(failure);
    const result = this.store.append(records, epoch, sequence);
    await this.pass(this.answerMilliseconds);
    if (result === 'appended') return Right(undefined);
    if (result === 'out-of-order') {
      return Left(
        UnavailableError.create('an earlier append is missing', {
          isOutOfOrder: true,
        }),
      );
    }
    return Left(ConflictError.create('a higher epoch was seen'));
  }

  async confirmEpoch(epoch: number): Promise<Either<TypedError, void>> {
    const failure = await this.reach();
    if (failure) return Left(failure);
    const isNewest = this.store.isNewestEpoch(epoch);
    await this.clock.running();
    if (isNewest) return Right(undefined);
    return Left(ConflictError.create('a higher epoch was seen'));
  }

  async readNewest(): Promise<Either<TypedError, ShardRecord[]>> {
    const failure = await this.reach();
    if (failure) return Left(failure);
    const records = this.store.read();
    await this.clock.running();
    return Right(records);
  }

  private async reach(): Promise<TypedError | undefined> {
    await this.pass(CALL_MILLISECONDS);
    if (!this.isCut && !this.store.isDown) return undefined;
    await this.pass(TIMEOUT_MILLISECONDS);
    return UnavailableError.create('the store is not reachable');
  }

  private async timeOut(): Promise<Either<TypedError, never>> {
    await this.pass(TIMEOUT_MILLISECONDS);
    return Left(UncertainError.create('the answer was lost'));
  }

  private async pass(milliseconds: number): Promise<void> {
    await this.base.sleepUntil(this.base.monotonicNow() + milliseconds);
    await this.clock.running();
  }
}
