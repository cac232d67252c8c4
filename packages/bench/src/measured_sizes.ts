import {RESOURCE_NAMES, type ResourceVector} from '@cardamomfield/types';

const KEPT = 64;
const NEEDED = 16;
/** How far off declarations may be. */
const WORST_FACTOR = 4;
/** A task that used all of its reservation may have needed more. */
const LIMITED_GROWTH = 1.25;

/** Reserves a percentile of what a team's earlier tasks used. */
export class MeasuredSizes {
  private readonly reports = new Map<string, ResourceVector[]>();

  private constructor(private readonly percentile: number) {}

  static create(percentile: number): MeasuredSizes {
    return new MeasuredSizes(percentile);
  }

  note(team: string, used: ResourceVector, reserved: ResourceVector): void {
    const report = {...used};
    for (const name of ['processorMillicores', 'memoryBytes'] as const) {
      if (used[name] >= reserved[name]) {
        report[name] = Math.ceil(used[name] * LIMITED_GROWTH);
      }
    }
    const reports = this.reports.get(team) ?? [];
    reports.push(report);
    if (reports.length > KEPT) reports.shift();
    this.reports.set(team, reports);
  }

  reservationFor(team: string, declared: ResourceVector): ResourceVector {
    const reports = this.reports.get(team) ?? [];
    if (reports.length < NEEDED) return declared;
    const reservation = {...declared};
    for (const name of ['processorMillicores', 'memoryBytes'] as const) {
      const sorted = reports.map(r => r[name]).sort((a, b) => a - b);
      const place = Math.floor((sorted.length - 1) * this.percentile);
      const least = Math.ceil(declared[name] / WORST_FACTOR);
      const most = declared[name] * WORST_FACTOR;
      reservation[name] = Math.min(most, Math.max(least, sorted[place]!));
    }
    for (const name of RESOURCE_NAMES) {
      reservation[name] = Math.max(0, reservation[name]);
    }
    return reservation;
  }
}
