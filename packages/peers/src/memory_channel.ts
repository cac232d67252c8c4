import type {Clock} from '@cardamomfield/clock';
import type {HybridTime} from '@cardamomfield/timeline';
import type {MemoryConnectionEnd} from './memory_connection_end.js';
import type {MemoryMessage} from './memory_message.js';

interface Shipment {
  to: MemoryConnectionEnd;
  message: MemoryMessage;
  sentAt: HybridTime;
}

interface Delivery extends Shipment {
  /** Monotonic instant of the delivery. */
  at: number;
}

/**
 * One direction between two hosts. Messages keep their order. While the
 * direction is cut they wait and arrive late, as retransmitted bytes do,
 * unless their connection has been closed meanwhile.
 */
export class MemoryChannel {
  delayMilliseconds = 0;
  answersToLose = 0;

  private readonly queue: Delivery[] = [];
  private pumping = false;
  private mend: (() => void) | undefined;
  private mended: Promise<void> | undefined;

  private constructor(private readonly clock: Clock) {}

  static create(clock: Clock): MemoryChannel {
    return new MemoryChannel(clock);
  }

  get isCut(): boolean {
    return this.mended !== undefined;
  }

  cut(): void {
    this.mended ??= new Promise(resolve => (this.mend = resolve));
  }

  heal(): void {
    this.mend?.();
    this.mended = undefined;
  }

  send(shipment: Shipment): void {
    if (shipment.message.kind === 'answer' && this.answersToLose > 0) {
      this.answersToLose--;
      return;
    }
    const at = this.clock.monotonicNow() + this.delayMilliseconds;
    this.queue.push({...shipment, at});
    if (!this.pumping) void this.pump();
  }

  private async pump(): Promise<void> {
    this.pumping = true;
    for (;;) {
      const delivery = this.queue[0];
      if (!delivery) break;
      await this.clock.sleepUntil(delivery.at);
      while (this.mended) await this.mended;
      this.queue.shift();
      delivery.to.arrive(delivery.message, delivery.sentAt);
    }
    this.pumping = false;
  }
}
