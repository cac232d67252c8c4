import type {StepState} from './step_state.js';
import type {WaitingOrder} from './waiting_order.js';

/** Sorts by priority number, lowest first, and then by age, oldest first. */
export class PriorityOrder implements WaitingOrder {
  private constructor() {}

  static create(): PriorityOrder {
    return new PriorityOrder();
  }

  sort(steps: StepState[]): StepState[] {
    return steps.sort((a, b) => {
      const [first, second] = [a.submission, b.submission];
      return (
        first.queue.priority - second.queue.priority ||
        first.acceptedAtUnixMilliseconds - second.acceptedAtUnixMilliseconds ||
        (first.id < second.id ? -1 : 1)
      );
    });
  }
}
