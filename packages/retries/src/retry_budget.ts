import type {Clock} from '@cardamomfield/clock';

/** Defaults: one retry per ten requests plus one per two seconds. */
const DEFAULT_RATIO = 0.1;
const DEFAULT_FLOOR_PER_SECOND = 0.5;
const DEFAULT_CAPACITY = 50;

const MILLISECONDS_PER_SECOND = 1_000;

interface RetryBudgetOptions {
  clock: Clock;
  /** Retries added per request. */
  ratio?: number;
  /** Retries added per second, so that a host without traffic can retry. */
  floorPerSecond?: number;
  /** Largest number of accumulated retries. */
  capacity?: number;
}

/**
 * Limits retries to a fraction of live traffic, so that a failing dependency
 * does not receive a multiple of its normal load. It starts with one retry.
 */
export class RetryBudget {
  private tokens = 1;
  private refilledAt: number;

  private constructor(
    private readonly clock: Clock,
    private readonly ratio: number,
    private readonly floorPerSecond: number,
    private readonly capacity: number,
  ) {
    this.refilledAt = clock.monotonicNow();
  }

  static create(options: RetryBudgetOptions): RetryBudget {
    return new RetryBudget(
      options.clock,
      options.ratio ?? DEFAULT_RATIO,
      options.floorPerSecond ?? DEFAULT_FLOOR_PER_SECOND,
      options.capacity ?? DEFAULT_CAPACITY,
    );
  }

  /** Counts a first attempt. */
  recordRequest(): void {
    this.add(this.ratio);
  }

  /** Takes one retry from the budget; returns false if none is left. */
  tryTake(): boolean {
    this.refill();
    if (this.tokens < 1) return false;
    this.tokens--;
    return true;
  }

  private refill(): void {
    const now = this.clock.monotonicNow();
    const seconds = (now - this.refilledAt) / MILLISECONDS_PER_SECOND;
    this.refilledAt = now;
    this.add(seconds * this.floorPerSecond);
  }

  private add(tokens: number): void {
    this.tokens = Math.min(this.capacity, this.tokens + tokens);
  }
}
