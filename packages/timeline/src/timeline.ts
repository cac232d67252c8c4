import type {Clock} from '@cardamomfield/clock';
import {compareHybridTime} from './compare_hybrid_time.js';
import type {HybridTime} from './hybrid_time.js';
import type {TimelineEvent} from './timeline_event.js';

/** Events kept before the oldest is dropped. */
const DEFAULT_CAPACITY = 20_000;

interface TimelineOptions {
  process: string;
  clock: Clock;
  capacity?: number;
}

/**
 * The latest events of one process. Messages between processes carry `now()`
 * and receivers pass it to `observe()`, so that merged time lines never show
 * an effect before its cause.
 */
export class Timeline {
  private readonly ring: TimelineEvent[] = [];
  private start = 0;
  private last: HybridTime = {wall: 0, counter: 0};

  private constructor(
    private readonly processName: string,
    private readonly clock: Clock,
    private readonly capacity: number,
  ) {}

  static create(options: TimelineOptions): Timeline {
    const capacity = options.capacity ?? DEFAULT_CAPACITY;
    return new Timeline(options.process, options.clock, capacity);
  }

  /** Adds an event. */
  record(kind: string, fields: TimelineEvent['fields'] = {}): void {
    const event = {
      time: this.now(),
      process: this.processName,
      kind,
      fields,
    };
    if (this.ring.length < this.capacity) {
      this.ring.push(event);
      return;
    }
    this.ring[this.start] = event;
    this.start = (this.start + 1) % this.capacity;
  }

  /** The next time value, to be sent along with a message. */
  now(): HybridTime {
    const wall = this.clock.wallNow();
    this.last =
      wall > this.last.wall
        ? {wall, counter: 0}
        : {wall: this.last.wall, counter: this.last.counter + 1};
    return this.last;
  }

  /** Takes in a time value that came with a message. */
  observe(remote: HybridTime): void {
    if (compareHybridTime(remote, this.last) > 0) this.last = remote;
  }

  /** All kept events, oldest first. */
  events(): TimelineEvent[] {
    return [...this.ring.slice(this.start), ...this.ring.slice(0, this.start)];
  }
}
