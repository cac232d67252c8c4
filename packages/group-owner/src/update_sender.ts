import {type Clock, Notifier} from '@cardamomfield/clock';
import {
  type PeerNetwork,
  type TaskUpdate,
  UPDATE_TASKS,
} from '@cardamomfield/peer-protocol';

/** Most updates of one message. */
const MAXIMUM_BATCH = 200;

/** Time for a coordinator to take a message. */
const SEND_TIMEOUT_MILLISECONDS = 2_000;

/** Pause before a message is repeated. */
const RETRY_PAUSE_MILLISECONDS = 200;

/** Updates kept for one coordinator that does not answer. */
const MAXIMUM_WAITING = 20_000;

interface UpdateSenderOptions {
  network: PeerNetwork;
  clock: Clock;
}

interface Mailbox {
  updates: TaskUpdate[];
  notifier: Notifier;
}

/**
 * Brings updates to coordinators, in order and repeated until taken, with one
 * message under way for each coordinator and the next one gathering meanwhile.
 */
export class UpdateSender {
  private readonly mailboxes = new Map<string, Mailbox>();
  private signal: AbortSignal | undefined;

  private constructor(private readonly options: UpdateSenderOptions) {}

  static create(options: UpdateSenderOptions): UpdateSender {
    return new UpdateSender(options);
  }

  /** Allows sending until the signal aborts. */
  start(signal: AbortSignal): void {
    this.signal = signal;
    for (const [name, mailbox] of this.mailboxes) {
      void this.serve(name, mailbox);
    }
  }

  /** Queues an update for a coordinator. */
  send(coordinator: string, update: TaskUpdate): void {
    const mailbox = this.mailboxOf(coordinator);
    // A coordinator that stays away learns the state from a search instead.
    if (mailbox.updates.length >= MAXIMUM_WAITING) mailbox.updates.shift();
    mailbox.updates.push(update);
    mailbox.notifier.notify();
  }

  /** Updates that no coordinator has taken yet. */
  countWaiting(): number {
    let count = 0;
    for (const name of this.mailboxes.keys()) count += this.waitingFor(name);
    return count;
  }

  /** Updates that wait for a coordinator which is there to take them. */
  countDeliverable(): number {
    const {network} = this.options;
    const hosts = [network.self, ...network.livePeers()];
    return hosts.reduce((sum, host) => sum + this.waitingFor(host), 0);
  }

  private waitingFor(name: string): number {
    return this.mailboxes.get(name)?.updates.length ?? 0;
  }

  private mailboxOf(coordinator: string): Mailbox {
    const known = this.mailboxes.get(coordinator);
    if (known) return known;
    const notifier = Notifier.create(this.options.clock);
    const mailbox = {updates: [], notifier};
    this.mailboxes.set(coordinator, mailbox);
    if (this.signal) void this.serve(coordinator, mailbox);
    return mailbox;
  }

  private async serve(coordinator: string, mailbox: Mailbox): Promise<void> {
    const {network, clock} = this.options;
    while (!this.signal?.aborted) {
      if (mailbox.updates.length === 0) {
        await mailbox.notifier.wait();
        continue;
      }
      const updates = mailbox.updates.slice(0, MAXIMUM_BATCH);
      const deadline = clock.monotonicNow() + SEND_TIMEOUT_MILLISECONDS;
      const answer = await network.call(
        coordinator,
        UPDATE_TASKS,
        {updates},
        deadline,
      );
      if (answer.isRight()) {
        const taken = new Set(updates);
        mailbox.updates = mailbox.updates.filter(each => !taken.has(each));
        continue;
      }
      await clock.sleepUntil(clock.monotonicNow() + RETRY_PAUSE_MILLISECONDS);
    }
  }
}
