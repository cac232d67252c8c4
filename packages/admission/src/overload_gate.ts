import type {Clock} from '@cardamomfield/clock';
import {RefusedError} from '@cardamomfield/errors';
import type {WorkKind} from '@cardamomfield/types';
import {type Either, Left, Right} from 'purify-ts';
import {DrainRate} from './drain_rate.js';

/**
 * Part of the limit up to which each class is admitted. The parts above are
 * left for higher classes, so lower classes are refused first.
 */
const ADMITTED_PARTS: Readonly<Record<WorkKind, number>> = {
  urgent: 1,
  interactive: 0.9,
  service: 0.8,
  gang: 0.7,
  batch: 0.6,
};

/** Bounds of the time after which a refused caller should try again. */
const SHORTEST_RETRY_MILLISECONDS = 250;
const LONGEST_RETRY_MILLISECONDS = 60_000;

/** Bounds the tasks that wait, and refuses the rest before they queue. */
export class OverloadGate {
  private readonly waiting = new Map<WorkKind, number>();
  private total = 0;
  private readonly drain: DrainRate;

  private constructor(
    private readonly clock: Clock,
    private readonly limit: number,
  ) {
    this.drain = DrainRate.create(clock);
  }

  /** `limit` bounds the tasks of all classes that wait at once. */
  static create(clock: Clock, limit: number): OverloadGate {
    return new OverloadGate(clock, limit);
  }

  /**
   * Admits tasks, or refuses them with the wall-clock instant `retryAfter`
   * at which, at the measured rate, there will be room for them.
   */
  admit(kind: WorkKind, tasks: number): Either<RefusedError, void> {
    const bound = this.limit * ADMITTED_PARTS[kind];
    const excess = this.total + tasks - bound;
    // A job larger than the bound is admitted when nothing else waits.
    if (excess > 0 && this.total > 0) return Left(this.refuse(kind, excess));
    this.change(kind, tasks);
    return Right(undefined);
  }

  /** Notes that admitted tasks no longer wait, for whatever reason. */
  leave(kind: WorkKind, tasks: number): void {
    this.change(kind, -tasks);
    this.drain.note(tasks);
  }

  waitingOf(kind: WorkKind): number {
    return this.waiting.get(kind) ?? 0;
  }

  private refuse(kind: WorkKind, excess: number): RefusedError {
    const rate = this.drain.perMillisecond();
    const expected = rate > 0 ? excess / rate : LONGEST_RETRY_MILLISECONDS;
    const wait = Math.min(
      LONGEST_RETRY_MILLISECONDS,
      Math.max(SHORTEST_RETRY_MILLISECONDS, Math.ceil(expected)),
    );
    const retryAfter = this.clock.wallNow() + wait;
    return RefusedError.create(
      `too many tasks wait to admit ${kind} work; ${this.total} of ${this.limit}`,
      {reason: 'overload', kind, retryAfter},
    );
  }

  private change(kind: WorkKind, tasks: number): void {
    this.waiting.set(kind, Math.max(0, this.waitingOf(kind) + tasks));
    this.total = Math.max(0, this.total + tasks);
  }
}
