import type {Clock} from '@cardamomfield/clock';
import {InternalError} from '@cardamomfield/errors';

/** Wall-clock time at which simulated time starts. */
const WALL_START = 1_700_000_000_000;

/** Clock whose time the simulation sets. Sleeping is not supported. */
export class SimulatedClock implements Clock {
  now = 0;

  private constructor() {}

  static create(): SimulatedClock {
    return new SimulatedClock();
  }

  monotonicNow(): number {
    return this.now;
  }

  wallNow(): number {
    return WALL_START + Math.floor(this.now);
  }

  sleepUntil(): Promise<void> {
    return Promise.reject(
      InternalError.create('sleepUntil is not supported on a simulated clock'),
    );
  }
}
