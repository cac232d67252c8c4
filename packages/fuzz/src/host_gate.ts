import type {Clock} from '@cardamomfield/clock';

type Callable = (...values: unknown[]) => unknown;

/** Holds back the tasks of one host while its process is paused. */
export class HostGate {
  private waiting: Array<() => void> = [];
  private isPaused = false;

  private constructor() {}

  static create(): HostGate {
    return new HostGate();
  }

  /** Stops everything that passes the gate, as SIGSTOP does. */
  pause(): void {
    this.isPaused = true;
  }

  /** Lets everything go on, as SIGCONT does. */
  resume(): void {
    this.isPaused = false;
    const woken = this.waiting;
    this.waiting = [];
    woken.forEach(wake => wake());
  }

  /** Resolves once the host is not paused. */
  async pass(): Promise<void> {
    while (this.isPaused) {
      await new Promise<void>(resolve => this.waiting.push(resolve));
    }
  }

  /** A clock whose sleepers wake only while the host is not paused. */
  wrapClock(clock: Clock, wallOffset: number): Clock {
    return {
      monotonicNow: () => clock.monotonicNow(),
      wallNow: () => clock.wallNow() + wallOffset,
      sleepUntil: async (deadline, signal) => {
        await clock.sleepUntil(deadline, signal);
        await this.pass();
      },
    };
  }

  /** The same object, with every answer of its methods held at the gate. */
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
      await this.pass();
      return value as unknown;
    });
  }
}
