import type {TaskState} from './task_state.js';

/** How a wait ended. */
type Outcome = 'near' | 'deadline' | 'early';

/** The one wait of a step for a near place, or the decision not to wait. */
export class NearPlaceWait {
  /** Undefined while the step waits. */
  outcome: Outcome | undefined;
  /** Monotonic time at which it ended. */
  endedAt = Infinity;
  /** Tasks that waited and whose run has not ended since. */
  readonly heldTasks = new Set<TaskState>();

  private constructor(
    /** Empty after a takeover, until the policy has chosen the rack again. */
    public rack: string,
    /** Monotonic time. */
    readonly beganAt: number,
    /** Monotonic deadline. */
    public endsAt: number,
    /** The same deadline in Unix milliseconds, for the next owner. */
    public endsAtUnixMilliseconds: number,
    /** Expected factor on run times on the best far worker. */
    readonly farFactor: number,
    /** Time that each task is expected to gain. */
    readonly gainMilliseconds: number,
  ) {}

  static create(
    rack: string,
    beganAt: number,
    endsAt: number,
    endsAtUnixMilliseconds: number,
    farFactor: number,
    gainMilliseconds: number,
  ): NearPlaceWait {
    return new NearPlaceWait(
      rack,
      beganAt,
      endsAt,
      endsAtUnixMilliseconds,
      farFactor,
      gainMilliseconds,
    );
  }

  /** The decision that a step does not wait, neither now nor later. */
  static none(now: number, nowUnixMilliseconds: number): NearPlaceWait {
    const wait = new NearPlaceWait(
      '',
      now,
      -Infinity,
      nowUnixMilliseconds,
      1,
      0,
    );
    wait.outcome = 'early';
    return wait;
  }

  /** A wait that an earlier owner began, or its decision not to wait. */
  static restore(endsAtUnixMilliseconds: number): NearPlaceWait {
    return new NearPlaceWait('', NaN, NaN, endsAtUnixMilliseconds, 1, 0);
  }

  /** True after a takeover, while the deadline is known in Unix time only. */
  get isRestored(): boolean {
    return Number.isNaN(this.endsAt);
  }

  /** Time until which tasks wait on purpose, and not for capacity. */
  get waitedUntil(): number {
    return Math.min(this.endsAt, this.endedAt);
  }

  isActive(now: number): boolean {
    return this.outcome === undefined && now < this.endsAt;
  }

  /** Ends the wait; the next owner does not resume it. */
  end(outcome: Outcome, now: number, nowUnixMilliseconds: number): void {
    this.outcome = outcome;
    this.endedAt = now;
    this.endsAtUnixMilliseconds = Math.min(
      this.endsAtUnixMilliseconds,
      nowUnixMilliseconds,
    );
  }
}
