interface TimedEvent {
  time: number;
  sequence: number;
  act: () => void;
}

/** Events by time, and by order of insertion at the same time. */
export class EventQueue {
  private readonly heap: TimedEvent[] = [];
  private sequence = 0;

  private constructor() {}

  static create(): EventQueue {
    return new EventQueue();
  }

  push(time: number, act: () => void): void {
    const event = {time, sequence: this.sequence++, act};
    let place = this.heap.length;
    this.heap.push(event);
    while (place > 0) {
      const parent = (place - 1) >> 1;
      if (!isBefore(event, this.heap[parent]!)) break;
      this.heap[place] = this.heap[parent]!;
      place = parent;
    }
    this.heap[place] = event;
  }

  /** The next event, unless it is after the end. */
  popUntil(end: number): TimedEvent | undefined {
    const first = this.heap[0];
    if (!first || first.time > end) return undefined;
    const last = this.heap.pop()!;
    if (this.heap.length > 0) this.sink(last);
    return first;
  }

  private sink(event: TimedEvent): void {
    const {heap} = this;
    let place = 0;
    for (;;) {
      let child = 2 * place + 1;
      if (child >= heap.length) break;
      const right = child + 1;
      if (right < heap.length && isBefore(heap[right]!, heap[child]!)) {
        child = right;
      }
      if (!isBefore(heap[child]!, event)) break;
      heap[place] = heap[child]!;
      place = child;
    }
    heap[place] = event;
  }
}

function isBefore(a: TimedEvent, b: TimedEvent): boolean {
  return a.time !== b.time ? a.time < b.time : a.sequence < b.sequence;
}
