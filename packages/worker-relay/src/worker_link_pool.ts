import type {
  WorkerDescription,
  WorkerLink,
  WorkerLinks,
} from '@cardamomfield/cell-model';
import type {Clock} from '@cardamomfield/clock';

/**
 * Links that no owner has used for this long are closed. An owner looks at a
 * worker at least every 2 s, and a takeover needs a few seconds.
 */
const UNUSED_MILLISECONDS = 20_000;

/** How often unused links are looked for. */
const SWEEP_MILLISECONDS = 5_000;

interface PooledLink {
  link: WorkerLink;
  usedAt: number;
}

/** Links to workers that outlast the channels of the owners that use them. */
export class WorkerLinkPool {
  private readonly links = new Map<string, PooledLink>();
  private sweepAt = 0;

  private constructor(
    private readonly source: WorkerLinks,
    private readonly clock: Clock,
  ) {}

  static create(source: WorkerLinks, clock: Clock): WorkerLinkPool {
    return new WorkerLinkPool(source, clock);
  }

  /** The link to a life of a worker, opened on first use. */
  linkTo(worker: WorkerDescription): WorkerLink {
    const now = this.clock.monotonicNow();
    this.sweep(now);
    const key = `${worker.id}@${worker.address}@${worker.bornAtUnixMilliseconds}`;
    const known = this.links.get(key);
    if (known) {
      known.usedAt = now;
      return known.link;
    }
    const link = this.source.open(worker);
    this.links.set(key, {link, usedAt: now});
    return link;
  }

  close(): void {
    for (const {link} of this.links.values()) link.close();
    this.links.clear();
  }

  private sweep(now: number): void {
    if (now < this.sweepAt) return;
    this.sweepAt = now + SWEEP_MILLISECONDS;
    for (const [key, {link, usedAt}] of this.links) {
      if (now - usedAt < UNUSED_MILLISECONDS) continue;
      link.close();
      this.links.delete(key);
    }
  }
}
