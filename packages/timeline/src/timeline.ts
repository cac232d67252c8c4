import type {Clock} from '@cardamomfield/clock';
import {compareHybridTime} from './compare_hybrid_time.js';
import type {HybridTime} from './hybrid_time.js';
import type {TimelineEvent} from './timeline_event.js';

/** Number of events kept before the oldest is dropped. */
const DEFAULT_CAPACITY = 20_000;

interface TimelineOptions {
  process: string;
  clock: Clock;
  capacity?: number;
}

/**
 * Keeps the latest events of one process. Messages between processes carry
 * `now()`, and receivers pass it to `observe()`, so that merged timelines never
 * show an effect before its cause.
 */
export class Timeline {
  private readonly ring: TimelineEvent[] = [];
  private oldestIndex = 0;
  private lastTime: HybridTime = {wall: 0, counter: 0};

  private constructor(
    private readonly processName: string,
    private readonly clock: Clock,
    private readonly capacity: number,
  ) {}

  static create(options: TimelineOptions): Timeline {
    const capacity = options.capacity ?? DEFAULT_CAPACITY;
    return new Timeline(options.process, options.clock, capacity);
  }

  /** Adds an event; at full capacity it replaces the oldest. */
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
    this.ring[this.oldestIndex] = event;
    this.oldestIndex = (this.oldestIndex + 1) % this.capacity;
  }

  /** Returns the next time value, to be sent along with a message. */
  now(): HybridTime {
    const wall = this.clock.wallNow();
    this.lastTime =
      wall > this.lastTime.wall
        ? {wall, counter: 0}
        : {wall: this.lastTime.wall, counter: this.lastTime.counter + 1};
    return this.lastTime;
  }

  /** Advances the clock to the time of a received message if it is later. */
  observe(remote: HybridTime): void {
    if (compareHybridTime(remote, this.lastTime) > 0) this.lastTime = remote;
  }

  /** All kept events, oldest first. */
  events(): TimelineEvent[] {
    return [
      ...this.ring.slice(this.oldestIndex),
      ...this.ring.slice(0, this.oldestIndex),
    ];
  }
}
