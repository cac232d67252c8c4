import {RESOURCE_NAMES, type ResourceVector} from '@cardamomfield/types';

const MAXIMUM_SAMPLES = 64;
const MINIMUM_SAMPLES = 16;
/** Factor by which declarations may be too high or too low. */
const MAXIMUM_DECLARATION_ERROR = 4;
/**
 * Growth factor for the usage of a task that used its whole reservation, as it
 * may have needed more.
 */
const CAPPED_USE_GROWTH = 1.25;

/** Computes reservations as a percentile of the past usage of a team. */
export class MeasuredReservations {
  private readonly samplesByTeam = new Map<string, ResourceVector[]>();

  private constructor(private readonly percentile: number) {}

  static create(percentile: number): MeasuredReservations {
    return new MeasuredReservations(percentile);
  }

  recordUsage(
    team: string,
    used: ResourceVector,
    reserved: ResourceVector,
  ): void {
    const sample = {...used};
    for (const name of ['processorMillicores', 'memoryBytes'] as const) {
      if (used[name] >= reserved[name]) {
        sample[name] = Math.ceil(used[name] * CAPPED_USE_GROWTH);
      }
    }
    const samples = this.samplesByTeam.get(team) ?? [];
    samples.push(sample);
    if (samples.length > MAXIMUM_SAMPLES) samples.shift();
    this.samplesByTeam.set(team, samples);
  }

  reservationFor(team: string, declared: ResourceVector): ResourceVector {
    const samples = this.samplesByTeam.get(team) ?? [];
    if (samples.length < MINIMUM_SAMPLES) return declared;
    const reservation = {...declared};
    for (const name of ['processorMillicores', 'memoryBytes'] as const) {
      const sorted = samples.map(sample => sample[name]).sort((a, b) => a - b);
      const position = Math.floor((sorted.length - 1) * this.percentile);
      const least = Math.ceil(declared[name] / MAXIMUM_DECLARATION_ERROR);
      const most = declared[name] * MAXIMUM_DECLARATION_ERROR;
      reservation[name] = Math.min(most, Math.max(least, sorted[position]!));
    }
    for (const name of RESOURCE_NAMES) {
      reservation[name] = Math.max(0, reservation[name]);
    }
    return reservation;
  }
}
