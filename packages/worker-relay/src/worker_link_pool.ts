import type {
  WorkerDescription,
  WorkerLink,
  WorkerLinks,
} from '@cardamomfield/cell-model';
import type {Clock} from '@cardamomfield/clock';

/**
 * Links that no owner has used for this long are closed. An owner polls a
 * worker at least every 2 s, and a takeover takes a few seconds.
 */
const IDLE_LINK_MILLISECONDS = 20_000;

/** Interval between sweeps that close idle links. */
const SWEEP_INTERVAL_MILLISECONDS = 5_000;

interface PooledLink {
  link: WorkerLink;
  lastUsedAt: number;
}

/** Links to workers that stay open when the owner's channel closes. */
export class WorkerLinkPool {
  private readonly links = new Map<string, PooledLink>();
  private nextSweepAt = 0;

  private constructor(
    private readonly source: WorkerLinks,
    private readonly clock: Clock,
  ) {}

  static create(source: WorkerLinks, clock: Clock): WorkerLinkPool {
    return new WorkerLinkPool(source, clock);
  }

  /** The link to an incarnation of a worker, opened on first use. */
  linkTo(worker: WorkerDescription): WorkerLink {
    const now = this.clock.monotonicNow();
    this.sweep(now);
    const key = `${worker.id}@${worker.address}@${worker.bornAtUnixMilliseconds}`;
    const known = this.links.get(key);
    if (known) {
      known.lastUsedAt = now;
      return known.link;
    }
    const link = this.source.open(worker);
    this.links.set(key, {link, lastUsedAt: now});
    return link;
  }

  close(): void {
    for (const {link} of this.links.values()) link.close();
    this.links.clear();
  }

  private sweep(now: number): void {
    if (now < this.nextSweepAt) return;
    this.nextSweepAt = now + SWEEP_INTERVAL_MILLISECONDS;
    for (const [key, {link, lastUsedAt}] of this.links) {
      if (now - lastUsedAt < IDLE_LINK_MILLISECONDS) continue;
      link.close();
      this.links.delete(key);
    }
  }
}
