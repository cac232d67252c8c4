import type {LogRecord} from '@cardamomfield/platform';
import type {SimulationEngine} from './simulation_engine.js';

/** The records of one stream and the faults of the service that stores it. */
export class SimulatedLog {
  readonly records: LogRecord[] = [];
  /** Hosts that cannot reach the service. */
  readonly unreachableFor = new Set<string>();
  /** Share of append answers that are lost after the append took effect. */
  lostShare = 0;
  /** Maximum additional delay of each message to and from the service. */
  extraDelayMilliseconds = 0;

  /** Number of calls of all hosts. */
  calls = 0;
  /** Offset of the oldest retained record. */
  head = 0;
  private readonly waiters = new Set<() => void>();

  private constructor(private readonly engine: SimulationEngine) {}

  static create(engine: SimulationEngine): SimulatedLog {
    return new SimulatedLog(engine);
  }

  append(body: unknown): number {
    const offset = this.records.length;
    // Copies the body as serialization would.
    const copy = JSON.parse(JSON.stringify(body)) as LogRecord['body'];
    const appendedAt = this.engine.wallNow();
    this.records.push({offset, appendedAt, body: copy});
    for (const wake of [...this.waiters]) wake();
    return offset;
  }

  /** Runs a function once a record exists at the offset, or at time `end`. */
  whenReached(offset: number, end: number, run: () => void): void {
    if (this.records.length > offset || end <= this.engine.now()) {
      run();
      return;
    }
    const finish = () => {
      if (this.records.length <= offset && this.engine.now() < end) return;
      this.waiters.delete(finish);
      timer.cancel();
      run();
    };
    const timer = this.engine.schedule(end, finish);
    this.waiters.add(finish);
  }

  /** Delay of one message in one direction. */
  delay(): number {
    const {engine} = this;
    const extra =
      engine.random.fraction() < 0.5 ? this.extraDelayMilliseconds : 0;
    return engine.randomBetween(0.5, 4) + extra * engine.random.fraction();
  }
}
