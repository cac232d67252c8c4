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

  private constructor(private readonly world: SimulatedWorld) {}

  static create(world: SimulatedWorld): SimulatedLog {
    return new SimulatedLog(world);
  }

  append(body: unknown): number {
    const offset = this.records.length;
    // A copy as the wire would make it.
    const copy = JSON.parse(JSON.stringify(body)) as LogRecord['body'];
    const appendedAt = Math.floor(this.world.now());
    this.records.push({offset, appendedAt, body: copy});
    return offset;
  }

  /** Delay of one message in one direction. */
  delay(): number {
    const {world} = this;
    const extra =
      world.random.fraction() < 0.5 ? this.extraDelayMilliseconds : 0;
    return world.between(0.5, 4) + extra * world.random.fraction();
  }
}
