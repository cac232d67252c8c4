/**
 * Limits the orders of one kind that are in flight to one worker; the others
 * wait in the order in which they came. The time limit of an order includes its
 * wait for a connection, so more of them at a time would end without an answer.
 */
export class OrderSlots {
  private readonly waiting: Array<() => void> = [];
  private activeCount = 0;

  private constructor(private readonly maximumActive: number) {}

  static create(maximumActive: number): OrderSlots {
    return new OrderSlots(maximumActive);
  }

  /** Sends an order once there is room for it. */
  async run<Result>(send: () => Promise<Result>): Promise<Result> {
    if (this.activeCount >= this.maximumActive) {
      await new Promise<void>(resolve => this.waiting.push(resolve));
    } else {
      this.activeCount++;
    }
    try {
      return await send();
    } finally {
      const next = this.waiting.shift();
      if (next) next();
      else this.activeCount--;
    }
  }
}
