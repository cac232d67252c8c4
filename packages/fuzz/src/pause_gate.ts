import type {Clock} from '@cardamomfield/clock';

type Callable = (...values: unknown[]) => unknown;

/** Suspends the calls and timers of one host while its process is paused. */
export class PauseGate {
  private waiters: Array<() => void> = [];
  private isPaused = false;

  private constructor() {}

  static create(): PauseGate {
    return new PauseGate();
  }

  /** Suspends all wrapped calls and timers, as SIGSTOP does. */
  pause(): void {
    this.isPaused = true;
  }

  /** Continues all suspended calls and timers, as SIGCONT does. */
  resume(): void {
    this.isPaused = false;
    const resumed = this.waiters;
    this.waiters = [];
    resumed.forEach(resolve => resolve());
  }

  /** Resolves once the host is not paused. */
  async waitUntilResumed(): Promise<void> {
    while (this.isPaused) {
      await new Promise<void>(resolve => this.waiters.push(resolve));
    }
  }

  /** Returns a clock whose sleeps end only while the host is not paused. */
  wrapClock(clock: Clock, wallOffset: number): Clock {
    return {
      monotonicNow: () => clock.monotonicNow(),
      wallNow: () => clock.wallNow() + wallOffset,
      sleepUntil: async (deadline, signal) => {
        await clock.sleepUntil(deadline, signal);
        await this.waitUntilResumed();
      },
    };
  }

  /**
   * Returns a proxy of the object whose asynchronous methods return their
   * results only while the host is not paused.
   */
  wrap<Target extends object>(target: Target): Target {
    return new Proxy(target, {
      get: (object, name) => {
        const member = Reflect.get(object, name, object) as unknown;
        if (typeof member !== 'function') return member;
        return (...values: unknown[]) =>
          this.call(object, member as Callable, values);
      },
    });
  }

  private call(target: object, method: Callable, values: unknown[]): unknown {
    const result = method.apply(target, values);
    if (!(result instanceof Promise)) return result;
    return result.then(async value => {
      await this.waitUntilResumed();
      return value as unknown;
    });
  }
}
