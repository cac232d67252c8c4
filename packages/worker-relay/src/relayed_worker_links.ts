import {createHash} from 'node:crypto';
import type {
  HostRecord,
  WorkerDescription,
  WorkerLink,
  WorkerLinks,
} from '@cardamomfield/cell-model';
import type {Clock} from '@cardamomfield/clock';
import type {Logger} from '@cardamomfield/logger';
import type {Metrics} from '@cardamomfield/metrics';
import {chooseRelays} from './choose_relays.js';
import {RelayChannel} from './relay_channel.js';
import {RelayedWorkerLink} from './relayed_worker_link.js';

/**
 * Processor time that a directly called worker costs the owner, in thousandths
 * of a core (docs/CAPACITY.md: slope between 33 and 246 workers).
 */
const MILLICORES_PER_DIRECT_WORKER = 1.1;

/** Share of the owner's processors that direct calls may take. */
const MAXIMUM_DIRECT_SHARE = 0.1;

/** A host whose channel was closed is not used as a relay for this long. */
const LOST_RELAY_BACKOFF_MILLISECONDS = 3_000;

interface RelayedWorkerLinksOptions {
  direct: WorkerLinks;
  /** Other hosts that are responsive at present. */
  hosts: () => HostRecord[];
  ownerName: string;
  ownerMilliCores: number;
  epoch: number;
  clock: Clock;
  logger: Logger;
  metrics: Metrics;
}

/**
 * Opens links to workers for one owner of a shard. Calls go through relay hosts
 * if direct calls to all workers would take too large a share of the owner's
 * processors. While no relay is available they go directly.
 */
export class RelayedWorkerLinks implements WorkerLinks {
  private readonly channels = new Map<string, RelayChannel>();
  private readonly backoffUntil = new Map<string, number>();
  private readonly workersByZone = new Map<string, number>();
  private workerCount = 0;
  private isClosed = false;

  private constructor(private readonly options: RelayedWorkerLinksOptions) {}

  static create(options: RelayedWorkerLinksOptions): RelayedWorkerLinks {
    return new RelayedWorkerLinks(options);
  }

  open(worker: WorkerDescription): WorkerLink {
    this.adjustWorkerCount(worker, 1);
    let channel: RelayChannel | undefined;
    return RelayedWorkerLink.create({
      worker,
      channel: () => {
        if (!channel?.isOpen) channel = this.channelFor(worker);
        return channel;
      },
      openDirectly: () => this.options.direct.open(worker),
      onClosed: () => this.adjustWorkerCount(worker, -1),
    });
  }

  /** Closes all channels; the relays keep their connections to workers. */
  close(): void {
    this.isClosed = true;
    for (const channel of this.channels.values()) channel.close();
  }

  private adjustWorkerCount(worker: WorkerDescription, change: number): void {
    this.workerCount += change;
    const zone = worker.availabilityZone;
    const inZone = this.workersByZone.get(zone) ?? 0;
    this.workersByZone.set(zone, inZone + change);
  }

  private get usesRelays(): boolean {
    const load = this.workerCount * MILLICORES_PER_DIRECT_WORKER;
    return load > this.options.ownerMilliCores * MAXIMUM_DIRECT_SHARE;
  }

  private channelFor(worker: WorkerDescription): RelayChannel | undefined {
    if (this.isClosed || !this.usesRelays) return undefined;
    const now = this.options.clock.monotonicNow();
    const zone = worker.availabilityZone;
    const usable = this.options
      .hosts()
      .filter(host => (this.backoffUntil.get(host.name) ?? 0) <= now);
    const relays = chooseRelays(
      usable,
      zone,
      this.workersByZone.get(zone) ?? 0,
    );
    const host = pickRelay(relays, worker.id);
    return host && this.channelTo(host);
  }

  private channelTo(host: HostRecord): RelayChannel {
    const known = this.channels.get(host.name);
    if (known?.isOpen) return known;
    const {ownerName, epoch, clock, logger, metrics} = this.options;
    const channel = RelayChannel.create({
      host,
      epoch,
      ownerName,
      clock,
      logger,
      onClosed: () => {
        this.channels.delete(host.name);
        this.backoffUntil.set(
          host.name,
          clock.monotonicNow() + LOST_RELAY_BACKOFF_MILLISECONDS,
        );
        metrics.increment('relays_lost');
      },
    });
    this.channels.set(host.name, channel);
    return channel;
  }
}

/** Rendezvous hashing: the loss of a relay moves only its own workers. */
function pickRelay(
  relays: readonly HostRecord[],
  workerId: string,
): HostRecord | undefined {
  let best: HostRecord | undefined;
  let bestWeight = '';
  for (const host of relays) {
    const weight = createHash('sha1')
      .update(`${workerId}/${host.name}`)
      .digest('hex');
    if (weight <= bestWeight) continue;
    best = host;
    bestWeight = weight;
  }
  return best;
}
