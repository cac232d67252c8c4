import type {ResourceVector} from '@cardamomfield/types';
import type {TeamShares} from './team_shares.js';
import type {Vector} from './vector.js';
import {Vectors} from './vectors.js';

/** Shares without quotas: each team's dominant share of all capacity. */
export class UsageShares implements TeamShares {
  private readonly usage = new Map<string, Vector>();

  private constructor(private readonly total: Vector) {}

  /** `total` is read on every call, so the caller may update it. */
  static create(total: Vector): UsageShares {
    return new UsageShares(total);
  }

  shareOf(team: string): number {
    const usage = this.usage.get(team);
    return usage ? Vectors.dominantShare(usage, this.total) : 0;
  }

  add(team: string, amounts: ResourceVector): void {
    Vectors.add(this.usageOf(team), Vectors.of(amounts));
  }

  subtract(team: string, amounts: ResourceVector): void {
    Vectors.subtract(this.usageOf(team), Vectors.of(amounts));
  }

  private usageOf(team: string): Vector {
    let usage = this.usage.get(team);
    if (!usage) {
      usage = Vectors.zero();
      this.usage.set(team, usage);
    }
    return usage;
  }
}
