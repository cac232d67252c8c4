import type {RandomSource} from '@cardamomfield/clock';
import type {SimulatedLife} from './simulated_life.js';

interface ScheduledEvent {
  at: number;
  order: number;
  life: SimulatedLife | undefined;
  run: () => void;
  isCancelled: boolean;
}

/** Wall time of the simulation's start. */
const WALL_START = 1_700_000_000_000;

/** Longest gap between two pieces of work that a resumed process catches up. */
const RESUME_GAP_MILLISECONDS = 2;

/**
 * Virtual time with one queue of events for all simulated processes. Work of a
 * paused process waits and then runs piece by piece, interleaved with others.
 */
export class SimulatedWorld {
  private readonly heap: ScheduledEvent[] = [];
  private order = 0;
  private time = 0;

  private constructor(readonly random: RandomSource) {}

  static create(random: RandomSource): SimulatedWorld {
    return new SimulatedWorld(random);
  }

  now(): number {
    return this.time;
  }

  /** Milliseconds since the Unix epoch. */
  wallNow(): number {
    return WALL_START + Math.floor(this.time);
  }

  /** A number between the bounds. */
  between(low: number, high: number): number {
    return low + (high - low) * this.random.fraction();
  }

  /** Runs a function at a global instant, unless its process has ended. */
  schedule(
    at: number,
    run: () => void,
    life?: SimulatedLife,
  ): {cancel(): void} {
    const event = {
      at: Math.max(at, this.time),
      order: this.order++,
      life,
      run,
      isCancelled: false,
    };
    this.push(event);
    return {
      cancel: () => {
        event.isCancelled = true;
      },
    };
  }

  /** Runs all events up to an instant, with a check after each of them. */
  async runUntil(end: number, check: () => void): Promise<void> {
    await this.settle();
    for (;;) {
      const event = this.heap[0];
      if (!event || event.at > end) break;
      this.pop();
      if (this.postpone(event)) continue;
      this.time = event.at;
      event.run();
      await this.settle();
      check();
    }
    this.time = end;
  }

  /** Lets all continuations that are due run. */
  settle(): Promise<void> {
    return new Promise(resolve => setImmediate(resolve));
  }

  /** Whether the event must not run now. */
  private postpone(event: ScheduledEvent): boolean {
    const {life} = event;
    if (event.isCancelled) return true;
    if (!life) return false;
    if (life.isEnded) return true;
    if (life.pausedUntil <= event.at) return false;
    event.at = life.pausedUntil + this.between(0, RESUME_GAP_MILLISECONDS);
    this.push(event);
    return true;
  }

  private push(event: ScheduledEvent): void {
    const {heap} = this;
    let index = heap.length;
    heap.push(event);
    while (index > 0) {
      const parent = (index - 1) >> 1;
      if (!isBefore(event, heap[parent]!)) break;
      heap[index] = heap[parent]!;
      index = parent;
    }
    heap[index] = event;
  }

  private pop(): void {
    const {heap} = this;
    const last = heap.pop()!;
    if (heap.length === 0) return;
    let index = 0;
    for (;;) {
      let child = 2 * index + 1;
      if (child >= heap.length) break;
      const right = child + 1;
      if (right < heap.length && isBefore(heap[right]!, heap[child]!)) {
        child = right;
      }
      if (!isBefore(heap[child]!, last)) break;
      heap[index] = heap[child]!;
      index = child;
    }
    heap[index] = last;
  }
}

function isBefore(first: ScheduledEvent, second: ScheduledEvent): boolean {
  return (
    first.at < second.at ||
    (first.at === second.at && first.order < second.order)
  );
}
