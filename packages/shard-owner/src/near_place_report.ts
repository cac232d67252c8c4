import type {
  NearPlaceEvent,
  Run,
  WorkerState,
} from '@cardamomfield/cell-scheduler';
import type {Logger} from '@cardamomfield/logger';
import type {Metrics} from '@cardamomfield/metrics';

/** Shortest interval between two log lines of one kind. */
const LOG_MILLISECONDS = 1_000;

interface NearPlaceReportOptions {
  logger: Logger;
  metrics: Metrics;
}

/** Counts and logs waits for near places and what they gain. */
export class NearPlaceReport {
  private readonly nextLineAt = new Map<string, number>();
  /** Events since the last line, by kind. */
  private readonly unlogged = new Map<string, number>();

  private constructor(private readonly options: NearPlaceReportOptions) {}

  static create(options: NearPlaceReportOptions): NearPlaceReport {
    return new NearPlaceReport(options);
  }

  /** Takes the waits that one pass began and ended. */
  note(events: readonly NearPlaceEvent[], now: number): void {
    const {metrics} = this.options;
    for (const event of events) {
      const {kind, heldCount, gainMilliseconds} = event;
      if (kind === 'begun') {
        metrics.increment('near_place_waits_begun');
        metrics.increment(
          'near_place_gained_milliseconds',
          heldCount * gainMilliseconds,
          {basis: 'estimate'},
        );
      } else {
        metrics.increment('near_place_waits_ended', 1, {outcome: kind});
      }
      this.log(event, now);
    }
  }

  /** Compares a run that has ended with an immediate start far away. */
  noteDone(run: Run, worker: WorkerState | undefined, now: number): void {
    const {step, task, placedAt, runningSince, isAdopted} = run;
    const wait = step.nearPlaceWait;
    if (!wait?.heldTasks.delete(task)) return;
    // Time lost by a failed run is not the wait's.
    if (!worker || isAdopted || runningSince === undefined) return;
    if (task.failures > 0) return;
    const waitEnd = Math.min(wait.endsAt, wait.endedAt, placedAt);
    const waited = Math.max(0, waitEnd - wait.beganAt);
    const ran = now - runningSince;
    const farMilliseconds = (ran * wait.farFactor) / worker.judgement.slowdown;
    const gain =
      worker.rack === wait.rack ? farMilliseconds - ran - waited : -waited;
    const {metrics} = this.options;
    if (gain >= 0) {
      metrics.increment('near_place_gained_milliseconds', Math.round(gain), {
        basis: 'measured',
      });
    } else {
      metrics.increment('near_place_lost_milliseconds', Math.round(-gain));
    }
  }

  private log(event: NearPlaceEvent, now: number): void {
    const {kind, step, rack, milliseconds, heldCount, gainMilliseconds} = event;
    const omitted = this.unlogged.get(kind) ?? 0;
    if (now < (this.nextLineAt.get(kind) ?? -Infinity)) {
      this.unlogged.set(kind, omitted + 1);
      return;
    }
    this.nextLineAt.set(kind, now + LOG_MILLISECONDS);
    this.unlogged.set(kind, 0);
    const message =
      kind === 'begun'
        ? 'wait for a near place begun'
        : 'wait for a near place ended';
    this.options.logger.info(message, {
      step: step.name,
      rack,
      outcome: kind === 'begun' ? undefined : kind,
      milliseconds,
      tasks: heldCount,
      gainMilliseconds,
      omitted,
    });
  }
}
