import type {Clock} from '@cardamomfield/clock';
import type {HybridTime} from '@cardamomfield/timeline';
import type {MemoryEndpoint} from './memory_endpoint.js';
import type {MemoryMessage} from './memory_message.js';

interface OutgoingMessage {
  to: MemoryEndpoint;
  message: MemoryMessage;
  sentAt: HybridTime;
}

interface ScheduledDelivery extends OutgoingMessage {
  /** Monotonic instant of the delivery. */
  at: number;
}

/**
 * One direction of the link between two hosts. Messages keep their order.
 * While the direction is cut they are held. They are delivered late, as
 * retransmitted bytes are, unless their connection has closed by then.
 */
export class MemoryChannel {
  delayMilliseconds = 0;
  answersToDrop = 0;

  private readonly queue: ScheduledDelivery[] = [];
  private isDelivering = false;
  private resolveHealed: (() => void) | undefined;
  private healed: Promise<void> | undefined;

  private constructor(private readonly clock: Clock) {}

  static create(clock: Clock): MemoryChannel {
    return new MemoryChannel(clock);
  }

  get isCut(): boolean {
    return this.healed !== undefined;
  }

  cut(): void {
    this.healed ??= new Promise(resolve => (this.resolveHealed = resolve));
  }

  heal(): void {
    this.resolveHealed?.();
    this.healed = undefined;
  }

  send(outgoing: OutgoingMessage): void {
    if (outgoing.message.kind === 'answer' && this.answersToDrop > 0) {
      this.answersToDrop--;
      return;
    }
    const at = this.clock.monotonicNow() + this.delayMilliseconds;
    this.queue.push({...outgoing, at});
    if (!this.isDelivering) void this.deliverQueued();
  }

  private async deliverQueued(): Promise<void> {
    this.isDelivering = true;
    for (;;) {
      const delivery = this.queue[0];
      if (!delivery) break;
      await this.clock.sleepUntil(delivery.at);
      while (this.healed) await this.healed;
      this.queue.shift();
      delivery.to.deliver(delivery.message, delivery.sentAt);
    }
    this.isDelivering = false;
  }
}
