import type {Clock} from '@cardamomfield/clock';

/** Interval between the turns that are recorded; few, to let idle hosts sleep. */
const TURN_INTERVAL_MILLISECONDS = 250;

interface StallDetectorOptions {
  clock: Clock;
  /** Time without a turn of the event loop above which a stall is assumed. */
  limitMilliseconds: number;
  /** Called at each recorded turn, to check for a stall. */
  onTurn: () => void;
}

/**
 * Detects that this process did not run, as while it was stopped or its event
 * loop was blocked. Both clocks continue then, unlike during a suspension.
 */
export class StallDetector {
  private timer: NodeJS.Timeout | undefined;
  private lastTurnAt = 0;

  private constructor(private readonly options: StallDetectorOptions) {}

  static create(options: StallDetectorOptions): StallDetector {
    return new StallDetector(options);
  }

  /** Starts to record turns, unless it does so already. */
  start(): void {
    if (this.timer) return;
    this.lastTurnAt = this.options.clock.monotonicNow();
    this.timer = setInterval(
      () => this.recordTurn(),
      TURN_INTERVAL_MILLISECONDS,
    ).unref();
  }

  stop(): void {
    clearInterval(this.timer);
    this.timer = undefined;
  }

  /**
   * Milliseconds since the last recorded turn, or 0 if that is within the
   * limit: then nothing that is read now arrived longer ago than the limit.
   */
  get stalledMilliseconds(): number {
    if (!this.timer) return 0;
    const elapsed = this.options.clock.monotonicNow() - this.lastTurnAt;
    return elapsed > this.options.limitMilliseconds ? elapsed : 0;
  }

  private recordTurn(): void {
    const {timer} = this;
    const turnAt = this.options.clock.monotonicNow();
    this.options.onTurn();
    // Sockets are read before immediates run, so what arrived before this turn
    // is still compared with the turn before it.
    setImmediate(() => {
      if (this.timer === timer) this.lastTurnAt = turnAt;
    });
  }
}
