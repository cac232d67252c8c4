import type {Clock} from './clock.js';

/**
 * Deadline after which a call must not be sent any more. It is stored on both
 * clocks: the monotonic clock stands still while the machine is suspended, and
 * the wall clock may be set back.
 */
export class CallDeadline {
  private constructor(
    private readonly clock: Clock,
    private readonly monotonic: number,
    private readonly wall: number,
  ) {}

  /** The deadline of a call with a time limit that starts now. */
  static create(clock: Clock, timeoutMilliseconds: number): CallDeadline {
    return new CallDeadline(
      clock,
      clock.monotonicNow() + timeoutMilliseconds,
      clock.wallNow() + timeoutMilliseconds,
    );
  }

  get hasPassed(): boolean {
    return (
      this.clock.monotonicNow() > this.monotonic ||
      this.clock.wallNow() > this.wall
    );
  }
}
