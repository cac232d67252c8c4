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
 * Processor time of a worker that the owner calls itself, in thousandths of a
 * core (docs/CAPACITY.md: slope between 33 and 246 workers).
 */
const MILLICORES_PER_WORKER = 1.1;

/** Share of the owner's processors that direct calls may take. */
const DIRECT_SHARE = 0.1;

/** A relay that was lost is not used again for this long. */
const LOST_RELAY_MILLISECONDS = 3_000;

interface RelayedWorkerLinksOptions {
  direct: WorkerLinks;
  /** Other hosts that answer at present. */
  hosts: () => HostRecord[];
  ownerName: string;
  ownerMilliCores: number;
  epoch: number;
  clock: Clock;
  logger: Logger;
  metrics: Metrics;
}

/**
 * Opens links for one owner of a shard. Where direct calls to all workers would
 * take much of the owner's processors, calls go through relay hosts; while no
 * relay answers they go directly.
 */
export class RelayedWorkerLinks implements WorkerLinks {
  private readonly channels = new Map<string, RelayChannel>();
  private readonly lostUntil = new Map<string, number>();
  private readonly workersByZone = new Map<string, number>();
  private workerCount = 0;
  private isClosed = false;

  private constructor(private readonly options: RelayedWorkerLinksOptions) {}

  static create(options: RelayedWorkerLinksOptions): RelayedWorkerLinks {
    return new RelayedWorkerLinks(options);
  }

  open(worker: WorkerDescription): WorkerLink {
    this.count(worker, 1);
    let channel: RelayChannel | undefined;
    return RelayedWorkerLink.create({
      worker,
      channel: () => {
        if (!channel?.isOpen) channel = this.channelFor(worker);
        return channel;
      },
      openDirectly: () => this.options.direct.open(worker),
      onClosed: () => this.count(worker, -1),
    });
  }

  /** Closes all channels; the relays keep their connections to workers. */
  close(): void {
    this.isClosed = true;
    for (const channel of this.channels.values()) channel.close();
  }

  private count(worker: WorkerDescription, change: number): void {
    this.workerCount += change;
    const zone = worker.availabilityZone;
    const inZone = this.workersByZone.get(zone) ?? 0;
    this.workersByZone.set(zone, inZone + change);
  }

  private get usesRelays(): boolean {
    const load = this.workerCount * MILLICORES_PER_WORKER;
    return load > this.options.ownerMilliCores * DIRECT_SHARE;
  }

  private channelFor(worker: WorkerDescription): RelayChannel | undefined {
    if (this.isClosed || !this.usesRelays) return undefined;
    const now = this.options.clock.monotonicNow();
    const zone = worker.availabilityZone;
    const usable = this.options
      .hosts()
      .filter(host => (this.lostUntil.get(host.name) ?? 0) <= now);
    const relays = chooseRelays(
      usable,
      zone,
      this.workersByZone.get(zone) ?? 0,
    );
    const host = pick(relays, worker.id);
    return host && this.channelTo(host);
  }

  private channelTo(host: HostRecord): RelayChannel {
    const known = this.channels.get(host.name);
    if (known) return known;
    const {ownerName, epoch, clock, logger, metrics} = this.options;
    const channel = RelayChannel.create({
      host,
      epoch,
      ownerName,
      clock,
      logger,
      onClosed: () => {
        this.channels.delete(host.name);
        this.lostUntil.set(
          host.name,
          clock.monotonicNow() + LOST_RELAY_MILLISECONDS,
        );
        metrics.increment('relays_lost');
      },
    });
    this.channels.set(host.name, channel);
    return channel;
  }
}

/** Rendezvous hashing: the loss of a relay moves only its own workers. */
function pick(
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
