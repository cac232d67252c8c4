import type {WorkerState} from '@cardamomfield/cell-scheduler';
import type {Logger} from '@cardamomfield/logger';
import type {Metrics} from '@cardamomfield/metrics';

/** Interval between two comparisons with the judgements reported last. */
const INTERVAL_MILLISECONDS = 1_000;

/** Maximum number of workers that are logged in one interval. */
const MAXIMUM_LOGGED = 5;

/** Judgements that are counted and logged. */
type Kind = 'slow' | 'failing' | 'flapping';

interface JudgementReportOptions {
  logger: Logger;
  metrics: Metrics;
}

/** Counts workers that are judged uneven and logs when that changes. */
export class JudgementReport {
  /** Kinds by worker, as logged last; even workers have no entry. */
  private readonly reported = new Map<string, string>();
  private updateAt = -Infinity;

  private constructor(private readonly options: JudgementReportOptions) {}

  static create(options: JudgementReportOptions): JudgementReport {
    return new JudgementReport(options);
  }

  update(workers: Iterable<WorkerState>, now: number): void {
    if (now < this.updateAt) return;
    this.updateAt = now + INTERVAL_MILLISECONDS;
    const counts: Record<Kind, number> = {slow: 0, failing: 0, flapping: 0};
    const listed = new Set<string>();
    let logged = 0;
    for (const worker of workers) {
      listed.add(worker.id);
      const kinds = kindsOf(worker);
      for (const kind of kinds) counts[kind]++;
      const judgement = kinds.join(', ');
      if ((this.reported.get(worker.id) ?? '') === judgement) continue;
      // The others are logged in the next intervals if they are judged alike.
      if (logged === MAXIMUM_LOGGED) continue;
      logged++;
      this.log(worker, judgement);
    }
    for (const id of this.reported.keys()) {
      if (!listed.has(id)) this.reported.delete(id);
    }
    const {metrics} = this.options;
    metrics.gauge('workers_slow', counts.slow);
    metrics.gauge('workers_failing', counts.failing);
    metrics.gauge('workers_flapping', counts.flapping);
  }

  private log({id, judgement}: WorkerState, kinds: string): void {
    if (kinds === '') this.reported.delete(id);
    else this.reported.set(id, kinds);
    const {slowdown, failureShare, lossesPerMillisecond} = judgement;
    this.options.logger.info('judgement of a worker changed', {
      worker: id,
      judgement: kinds || 'even',
      slowdown: round(slowdown),
      failureShare: round(failureShare),
      lossesPerMinute: round(lossesPerMillisecond * 60_000),
    });
  }
}

function kindsOf({judgement}: WorkerState): Kind[] {
  const kinds: Kind[] = [];
  if (judgement.isSlow) kinds.push('slow');
  if (judgement.isFailing || judgement.failureShare > 0) kinds.push('failing');
  if (judgement.isFlapping) kinds.push('flapping');
  return kinds;
}

function round(value: number): number {
  return Math.round(value * 100) / 100;
}
