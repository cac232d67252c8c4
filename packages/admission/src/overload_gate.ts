import type {Clock} from '@cardamomfield/clock';
import {RefusedError} from '@cardamomfield/errors';
import type {WorkKind} from '@cardamomfield/types';
import {type Either, Left, Right} from 'purify-ts';
import {DrainRate} from './drain_rate.js';

/**
 * Fraction of the limit up to which each class is admitted. The rest is
 * reserved for higher classes, so lower classes are refused first.
 */
const CLASS_LIMIT_FRACTIONS: Readonly<Record<WorkKind, number>> = {
  urgent: 1,
  interactive: 0.9,
  service: 0.8,
  gang: 0.7,
  batch: 0.6,
};

/** Bounds of the delay after which a refused caller should retry. */
const SHORTEST_RETRY_MILLISECONDS = 250;
const LONGEST_RETRY_MILLISECONDS = 60_000;

/** Limits the waiting tasks and refuses further ones before they queue. */
export class OverloadGate {
  private readonly waiting = new Map<WorkKind, number>();
  private total = 0;
  private readonly drainRate: DrainRate;

  private constructor(
    private readonly clock: Clock,
    private readonly limit: number,
  ) {
    this.drainRate = DrainRate.create(clock);
  }

  /** `limit` bounds the waiting tasks of all classes together. */
  static create(clock: Clock, limit: number): OverloadGate {
    return new OverloadGate(clock, limit);
  }

  /**
   * Admits tasks, or refuses them with a wall-clock instant `retryAfter`: the
   * time at which there is capacity for them if the measured rate continues.
   */
  admit(kind: WorkKind, tasks: number): Either<RefusedError, void> {
    const classLimit = this.limit * CLASS_LIMIT_FRACTIONS[kind];
    const excess = this.total + tasks - classLimit;
    // A job larger than the limit of its class is admitted if no task waits.
    if (excess > 0 && this.total > 0) return Left(this.refuse(kind, excess));
    this.adjustWaiting(kind, tasks);
    return Right(undefined);
  }

  /** Records that admitted tasks no longer wait, for any reason. */
  release(kind: WorkKind, tasks: number): void {
    this.adjustWaiting(kind, -tasks);
    this.drainRate.record(tasks);
  }

  waitingCount(kind: WorkKind): number {
    return this.waiting.get(kind) ?? 0;
  }

  private refuse(kind: WorkKind, excess: number): RefusedError {
    const rate = this.drainRate.perMillisecond();
    const expectedWait = rate > 0 ? excess / rate : LONGEST_RETRY_MILLISECONDS;
    const wait = Math.min(
      LONGEST_RETRY_MILLISECONDS,
      Math.max(SHORTEST_RETRY_MILLISECONDS, Math.ceil(expectedWait)),
    );
    const retryAfter = this.clock.wallNow() + wait;
    return RefusedError.create(
      `too many tasks wait to admit ${kind} work; ${this.total} of ${this.limit}`,
      {reason: 'overload', kind, retryAfter},
    );
  }

  private adjustWaiting(kind: WorkKind, tasks: number): void {
    this.waiting.set(kind, Math.max(0, this.waitingCount(kind) + tasks));
    this.total = Math.max(0, this.total + tasks);
  }
}
