import type {Clock, SleepSignal} from '@cardamomfield/clock';
import type {ProcessState} from './process_state.js';
import type {SimulationEngine} from './simulation_engine.js';

/**
 * The clock of one simulated process. It runs at its own rate and keeps
 * running while the process is paused.
 */
export class SimulatedClock implements Clock {
  private constructor(
    private readonly engine: SimulationEngine,
    private readonly processState: ProcessState,
    private readonly rate: number,
    private readonly start: number,
  ) {}

  static create(
    engine: SimulationEngine,
    processState: ProcessState,
    rate: number,
  ): SimulatedClock {
    const start = 1_000_000 * engine.random.fraction();
    return new SimulatedClock(engine, processState, rate, start);
  }

  monotonicNow(): number {
    return this.start + this.engine.now() * this.rate;
  }

  wallNow(): number {
    return this.engine.wallNow();
  }

  /** The global instant at which this clock shows a monotonic value. */
  globalInstant(monotonic: number): number {
    // Prevents rounding from ending a sleep slightly too early.
    return (monotonic - this.start) / this.rate + 1e-6;
  }

  sleepUntil(deadline: number, signal?: SleepSignal): Promise<void> {
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
      const event = this.engine.schedule(at, finish, this.processState);
      signal?.addEventListener('abort', finish);
    });
  }
}
