import type {LogRecord} from '@cardamomfield/platform';
import type {SimulatedWorld} from './simulated_world.js';

/** The records of one stream and the faults of the service that keeps it. */
export class SimulatedLog {
  readonly records: LogRecord[] = [];
  /** Hosts for which the service is out of reach. */
  readonly unreachableFor = new Set<string>();
  /** Share of append answers that are lost after the append took effect. */
  lostAnswers = 0;
  /** Longest additional delay of each message to and from the service. */
  extraDelayMilliseconds = 0;

  /** Calls of all hosts so far. */
  calls = 0;
  /** Offset of the oldest record that is kept. */
  head = 0;
  private readonly waiting = new Set<() => void>();

  private constructor(private readonly world: SimulatedWorld) {}

  static create(world: SimulatedWorld): SimulatedLog {
    return new SimulatedLog(world);
  }

  append(body: unknown): number {
    const offset = this.records.length;
    // A copy as the wire would make it.
    const copy = JSON.parse(JSON.stringify(body)) as LogRecord['body'];
    const appendedAt = this.world.wallNow();
    this.records.push({offset, appendedAt, body: copy});
    for (const wake of [...this.waiting]) wake();
    return offset;
  }

  /** Runs a function once there is a record at the offset, or at the end. */
  whenReached(offset: number, end: number, run: () => void): void {
    if (this.records.length > offset || end <= this.world.now()) {
      run();
      return;
    }
    const finish = () => {
      if (this.records.length <= offset && this.world.now() < end) return;
      this.waiting.delete(finish);
      timer.cancel();
      run();
    };
    const timer = this.world.schedule(end, finish);
    this.waiting.add(finish);
  }

  /** Delay of one message in one direction. */
  delay(): number {
    const {world} = this;
    const extra =
      world.random.fraction() < 0.5 ? this.extraDelayMilliseconds : 0;
    return world.between(0.5, 4) + extra * world.random.fraction();
  }
}
