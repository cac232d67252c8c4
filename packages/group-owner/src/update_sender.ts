import {type Clock, Notifier} from '@cardamomfield/clock';
import {
  type PeerNetwork,
  type TaskUpdate,
  UPDATE_TASKS,
} from '@cardamomfield/peer-protocol';

/** Maximum number of updates in one message. */
const MAXIMUM_BATCH = 200;

/** Time for a coordinator to acknowledge a message. */
const SEND_TIMEOUT_MILLISECONDS = 2_000;

/** Pause before a message is sent again. */
const RETRY_PAUSE_MILLISECONDS = 200;

/** Maximum number of updates queued for one coordinator. */
const MAXIMUM_QUEUED = 20_000;

interface UpdateSenderOptions {
  network: PeerNetwork;
  clock: Clock;
}

interface UpdateQueue {
  updates: TaskUpdate[];
  notifier: Notifier;
}

/**
 * Delivers updates to coordinators in order and resends them until they are
 * acknowledged. Each coordinator has at most one message in flight; further
 * updates are queued for the next message.
 */
export class UpdateSender {
  private readonly queues = new Map<string, UpdateQueue>();
  private signal: AbortSignal | undefined;

  private constructor(private readonly options: UpdateSenderOptions) {}

  static create(options: UpdateSenderOptions): UpdateSender {
    return new UpdateSender(options);
  }

  /** Starts sending, until the signal aborts. */
  start(signal: AbortSignal): void {
    this.signal = signal;
    for (const [name, queue] of this.queues) {
      void this.deliver(name, queue);
    }
  }

  /** Queues an update for a coordinator. */
  send(coordinator: string, update: TaskUpdate): void {
    const queue = this.queueOf(coordinator);
    // Drops the oldest update. A coordinator that does not answer for long gets
    // the state by a search for its tasks instead.
    if (queue.updates.length >= MAXIMUM_QUEUED) queue.updates.shift();
    queue.updates.push(update);
    queue.notifier.notify();
  }

  /** Number of updates not yet acknowledged by their coordinators. */
  countQueued(): number {
    let count = 0;
    for (const name of this.queues.keys()) count += this.countQueuedFor(name);
    return count;
  }

  /** Number of updates queued for this process and for live peers. */
  countDeliverable(): number {
    const {network} = this.options;
    const hosts = [network.self, ...network.livePeers()];
    return hosts.reduce((sum, host) => sum + this.countQueuedFor(host), 0);
  }

  private countQueuedFor(name: string): number {
    return this.queues.get(name)?.updates.length ?? 0;
  }

  private queueOf(coordinator: string): UpdateQueue {
    const known = this.queues.get(coordinator);
    if (known) return known;
    const notifier = Notifier.create(this.options.clock);
    const queue = {updates: [], notifier};
    this.queues.set(coordinator, queue);
    if (this.signal) void this.deliver(coordinator, queue);
    return queue;
  }

  private async deliver(
    coordinator: string,
    queue: UpdateQueue,
  ): Promise<void> {
    const {network, clock} = this.options;
    while (!this.signal?.aborted) {
      if (queue.updates.length === 0) {
        await queue.notifier.wait();
        continue;
      }
      const updates = queue.updates.slice(0, MAXIMUM_BATCH);
      const deadline = clock.monotonicNow() + SEND_TIMEOUT_MILLISECONDS;
      const answer = await network.call(
        coordinator,
        UPDATE_TASKS,
        {updates},
        deadline,
      );
      if (answer.isRight()) {
        const delivered = new Set(updates);
        queue.updates = queue.updates.filter(each => !delivered.has(each));
        continue;
      }
      await clock.sleepUntil(clock.monotonicNow() + RETRY_PAUSE_MILLISECONDS);
    }
  }
}
