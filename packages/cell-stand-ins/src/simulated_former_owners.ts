import type {ManualClock} from '@cardamomfield/clock';
import type {FormerOwners} from '@cardamomfield/shard-owner';
import type {AnnouncedOwner} from './announced_owner.js';
import type {PausableClock} from './pausable_clock.js';

/** Time until another process answers on the host of one that has crashed. */
const RESTART_MILLISECONDS = 500;

/** Interval at which former owners are asked, and for how long. */
const ASK_INTERVAL_MILLISECONDS = 250;
const ASK_MILLISECONDS = 15_000;

/** What one simulated process learns of owners, from announcements and pings. */
export class SimulatedFormerOwners implements FormerOwners {
  private readonly known = new Map<
    number,
    {owner: AnnouncedOwner; learnedAt: number}
  >();
  /** Times of last grants that an answer has shown. */
  private readonly shown = new Map<number, number>();

  private constructor(
    private readonly virtualClock: ManualClock,
    private readonly clock: PausableClock,
  ) {}

  static create(
    virtualClock: ManualClock,
    clock: PausableClock,
  ): SimulatedFormerOwners {
    return new SimulatedFormerOwners(virtualClock, clock);
  }

  get epochs(): readonly number[] {
    return [...this.known.keys()].sort((a, b) => a - b);
  }

  learn(owner: AnnouncedOwner): void {
    if (this.known.has(owner.epoch)) return;
    const learnedAt = this.clock.monotonicNow();
    this.known.set(owner.epoch, {owner, learnedAt});
    void this.askUntil(learnedAt + ASK_MILLISECONDS);
  }

  /** Asks the former owners, also while this process is not the next one. */
  private async askUntil(deadline: number): Promise<void> {
    while (this.clock.monotonicNow() < deadline) {
      for (const epoch of this.epochs.slice(0, -1)) this.lastGrantAt(epoch);
      await this.clock.sleepUntil(
        this.clock.monotonicNow() + ASK_INTERVAL_MILLISECONDS,
      );
    }
  }

  replacedAt(epoch: number): number {
    let earliest = Infinity;
    for (const [other, {learnedAt}] of this.known) {
      if (other > epoch) earliest = Math.min(earliest, learnedAt);
    }
    return earliest;
  }

  lastGrantAt(epoch: number): number | undefined {
    const owner = this.known.get(epoch)?.owner;
    const shown = this.shown.get(epoch);
    if (!owner || shown !== undefined) return shown;
    const grantedAt = this.ask(owner);
    if (grantedAt !== undefined) this.shown.set(epoch, grantedAt);
    return grantedAt;
  }

  /** The answer of the process that now runs on a former owner's host. */
  private ask(owner: AnnouncedOwner): number | undefined {
    if (owner.clock.isPaused) return undefined;
    const now = this.clock.monotonicNow();
    const crashedAt = owner.crashedAt();
    if (crashedAt !== undefined) {
      const isBack =
        this.virtualClock.monotonicNow() >= crashedAt + RESTART_MILLISECONDS;
      return isBack ? now : undefined;
    }
    if (!owner.owner.isStopped) return undefined;
    return now - (owner.clock.monotonicNow() - owner.owner.lastGrantAt);
  }
}
