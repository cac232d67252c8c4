import type {LimitHold} from '@cardamomfield/cell-scheduler';
import type {Clock} from '@cardamomfield/clock';
import type {Logger} from '@cardamomfield/logger';
import type {Metrics} from '@cardamomfield/metrics';

/** Shortest interval between two log lines. */
const LOG_MILLISECONDS = 1_000;

/** Reports limits that hold back waiting work. */
export class LimitLog {
  private nextLineAt = -Infinity;
  /** Teams by the time of their last line, the earliest first. */
  private readonly loggedTeams = new Set<string>();

  private constructor(
    private readonly clock: Clock,
    private readonly logger: Logger,
    private readonly metrics: Metrics,
  ) {}

  static create(clock: Clock, logger: Logger, metrics: Metrics): LimitLog {
    return new LimitLog(clock, logger, metrics);
  }

  /** Takes the holds of one pass. Teams take turns in the log. */
  note(holds: ReadonlyMap<string, LimitHold>): void {
    if (holds.size === 0) return;
    for (const {resource = 'unknown'} of holds.values()) {
      this.metrics.increment('limit_holds', 1, {resource});
    }
    const now = this.clock.monotonicNow();
    if (now < this.nextLineAt) return;
    this.nextLineAt = now + LOG_MILLISECONDS;
    const hold = this.choose(holds);
    if (!hold) return;
    this.loggedTeams.delete(hold.team);
    this.loggedTeams.add(hold.team);
    const {team, resource, used, limit} = hold;
    if (resource) {
      this.logger.info('limit holds back work', {team, resource, used, limit});
    } else {
      this.logger.warn('work waits until limits are known', {team});
    }
  }

  private choose(holds: ReadonlyMap<string, LimitHold>): LimitHold | undefined {
    for (const [team, hold] of holds) {
      if (!this.loggedTeams.has(team)) return hold;
    }
    for (const team of this.loggedTeams) {
      const hold = holds.get(team);
      if (hold) return hold;
    }
    return undefined;
  }
}
