import type {RandomSource} from '@cardamomfield/clock';
import type {ProcessState} from './process_state.js';

interface ScheduledEvent {
  at: number;
  sequence: number;
  processState: ProcessState | undefined;
  run: () => void;
  isCancelled: boolean;
}

/** Wall time of the simulation's start. */
const WALL_START = 1_700_000_000_000;

/** Maximum delay of a postponed event after its process resumes. */
const MAXIMUM_RESUME_DELAY_MILLISECONDS = 2;

/**
 * Virtual time with one event queue for all simulated processes. Events of a
 * paused process are postponed until it resumes, and then run interleaved with
 * the events of other processes.
 */
export class SimulationEngine {
  private readonly heap: ScheduledEvent[] = [];
  private nextSequence = 0;
  private time = 0;

  private constructor(readonly random: RandomSource) {}

  static create(random: RandomSource): SimulationEngine {
    return new SimulationEngine(random);
  }

  now(): number {
    return this.time;
  }

  /** Milliseconds since the Unix epoch. */
  wallNow(): number {
    return WALL_START + Math.floor(this.time);
  }

  /** Returns a random number between the bounds. */
  randomBetween(low: number, high: number): number {
    return low + (high - low) * this.random.fraction();
  }

  /** Runs a function at a global instant, unless its process has ended. */
  schedule(
    at: number,
    run: () => void,
    processState?: ProcessState,
  ): {cancel(): void} {
    const event = {
      at: Math.max(at, this.time),
      sequence: this.nextSequence++,
      processState,
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
    await this.runPendingContinuations();
    for (;;) {
      const event = this.heap[0];
      if (!event || event.at > end) break;
      this.pop();
      if (this.dropOrPostpone(event)) continue;
      this.time = event.at;
      event.run();
      await this.runPendingContinuations();
      check();
    }
    this.time = end;
  }

  /** Resolves after the pending promise continuations have run. */
  runPendingContinuations(): Promise<void> {
    return new Promise(resolve => setImmediate(resolve));
  }

  /**
   * Returns whether the event must not run now. An event of a paused process is
   * queued again for the time after the pause.
   */
  private dropOrPostpone(event: ScheduledEvent): boolean {
    const {processState} = event;
    if (event.isCancelled) return true;
    if (!processState) return false;
    if (processState.isEnded) return true;
    if (processState.pausedUntil <= event.at) return false;
    event.at =
      processState.pausedUntil +
      this.randomBetween(0, MAXIMUM_RESUME_DELAY_MILLISECONDS);
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
    (first.at === second.at && first.sequence < second.sequence)
  );
}
