import type {Clock} from '@cardamomfield/clock';
import type {SimulatedLife} from './simulated_life.js';
import type {SimulatedWorld} from './simulated_world.js';

/**
 * The clock of one simulated process. It runs at its own rate and keeps
 * running while the process is paused.
 */
export class SimulatedClock implements Clock {
  private constructor(
    private readonly world: SimulatedWorld,
    private readonly life: SimulatedLife,
    private readonly rate: number,
    private readonly start: number,
  ) {}

  static create(
    world: SimulatedWorld,
    life: SimulatedLife,
    rate: number,
  ): SimulatedClock {
    const start = 1_000_000 * world.random.fraction();
    return new SimulatedClock(world, life, rate, start);
  }

  monotonicNow(): number {
    return this.start + this.world.now() * this.rate;
  }

  wallNow(): number {
    return this.world.wallNow();
  }

  /** The global instant at which this clock shows a monotonic value. */
  globalInstant(monotonic: number): number {
    // Rounding must not end a sleep a fraction too early.
    return (monotonic - this.start) / this.rate + 1e-6;
  }

  sleepUntil(deadline: number, signal?: AbortSignal): Promise<void> {
    if (signal?.aborted || deadline <= this.monotonicNow()) {
      return Promise.resolve();
    }
    return new Promise(resolve => {
      const finish = () => {
        event.cancel();
        signal?.removeEventListener('abort', finish);
        resolve();
      };
      const at = this.globalInstant(deadline);
      const event = this.world.schedule(at, finish, this.life);
      signal?.addEventListener('abort', finish);
    });
  }
}
