interface TimedEvent {
  time: number;
  sequence: number;
  action: () => void;
}

/** Priority queue of events by time, then by order of insertion. */
export class EventQueue {
  private readonly heap: TimedEvent[] = [];
  private sequence = 0;

  private constructor() {}

  static create(): EventQueue {
    return new EventQueue();
  }

  push(time: number, action: () => void): void {
    const event = {time, sequence: this.sequence++, action};
    let position = this.heap.length;
    this.heap.push(event);
    while (position > 0) {
      const parent = (position - 1) >> 1;
      if (!isBefore(event, this.heap[parent]!)) break;
      this.heap[position] = this.heap[parent]!;
      position = parent;
    }
    this.heap[position] = event;
  }

  /** Removes and returns the next event, unless it is later than `end`. */
  popUntil(end: number): TimedEvent | undefined {
    const first = this.heap[0];
    if (!first || first.time > end) return undefined;
    const last = this.heap.pop()!;
    if (this.heap.length > 0) this.siftDown(last);
    return first;
  }

  private siftDown(event: TimedEvent): void {
    const {heap} = this;
    let position = 0;
    for (;;) {
      let child = 2 * position + 1;
      if (child >= heap.length) break;
      const right = child + 1;
      if (right < heap.length && isBefore(heap[right]!, heap[child]!)) {
        child = right;
      }
      if (!isBefore(heap[child]!, event)) break;
      heap[position] = heap[child]!;
      position = child;
    }
    heap[position] = event;
  }
}

function isBefore(a: TimedEvent, b: TimedEvent): boolean {
  return a.time !== b.time ? a.time < b.time : a.sequence < b.sequence;
}
