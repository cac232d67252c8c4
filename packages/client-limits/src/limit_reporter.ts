import type {Clock} from '@cardamomfield/clock';
import type {Logger} from '@cardamomfield/logger';
import type {Metrics} from '@cardamomfield/metrics';

/** A limit is logged once within this time, however often it is met. */
const INTERVAL_MILLISECONDS = 10_000;

interface LimitReporterOptions {
  clock: Clock;
  logger: Logger;
  metrics: Metrics;
}

/** Counts and logs clients that meet a limit. */
export class LimitReporter {
  /** Monotonic time at which each limit was logged, and events since then. */
  private readonly events = new Map<string, {at: number; omitted: number}>();

  private constructor(private readonly options: LimitReporterOptions) {}

  static create(options: LimitReporterOptions): LimitReporter {
    return new LimitReporter(options);
  }

  note(server: string, limit: string, client: string | undefined): void {
    const {clock, logger, metrics} = this.options;
    metrics.increment('client_limits_met', 1, {server, limit});
    const now = clock.monotonicNow();
    const key = `${server} ${limit}`;
    const last = this.events.get(key);
    if (last && now - last.at < INTERVAL_MILLISECONDS) {
      last.omitted++;
      return;
    }
    this.events.set(key, {at: now, omitted: 0});
    const omittedSince = last?.omitted ?? 0;
    logger.warn('client met a limit', {
      server,
      limit,
      client,
      ...(omittedSince > 0 ? {omittedSince} : {}),
    });
  }
}
