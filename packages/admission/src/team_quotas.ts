import {
  RESOURCE_NAMES,
  type ResourceVector,
  type Team,
} from '@cardamomfield/types';

const ZERO_RESOURCES: ResourceVector = {
  processorMillicores: 0,
  memoryBytes: 0,
  accelerators: 0,
  slots: 0,
  connections: 0,
};

/** Resources that one team uses on the owner's groups. */
interface TeamUsage {
  used: ResourceVector;
  /** Part of `used` that preempted tasks are about to release. */
  returning: ResourceVector;
}

/**
 * The owner's part of the team quotas. A team may use more than its quota
 * while no other team needs the capacity. A team within its quota reclaims
 * capacity by preempting batch tasks of borrowing teams. A scheduler takes an
 * instance as its `TeamShares`.
 */
export class TeamQuotas {
  /** This class also implements the lending rules. */
  readonly lending = this;
  private readonly usageByTeam = new Map<string, TeamUsage>();
  private readonly quotas = new Map<string, ResourceVector>();

  private constructor() {}

  static create(): TeamQuotas {
    return new TeamQuotas();
  }

  /**
   * Sets the quotas in force. `ownedShare` is the fraction of all capacity
   * that belongs to the owner's groups, from 0 to 1.
   */
  setTeams(teams: Iterable<Team>, ownedShare: number): void {
    this.quotas.clear();
    for (const team of teams) {
      const quota = {...ZERO_RESOURCES};
      for (const name of RESOURCE_NAMES) {
        quota[name] = Math.floor(team.quota[name] * ownedShare);
      }
      this.quotas.set(team.name, quota);
    }
  }

  /** The team's dominant share of its quota; above 1 the team is borrowing. */
  shareOf(team: string): number {
    const used = this.usageByTeam.get(team)?.used;
    if (!used) return 0;
    const quota = this.quotaOf(team);
    let share = 0;
    for (const name of RESOURCE_NAMES) {
      share = Math.max(share, used[name] / Math.max(1, quota[name]));
    }
    return share;
  }

  add(team: string, amounts: ResourceVector): void {
    adjust(this.usageOf(team).used, amounts, 1);
  }

  subtract(team: string, amounts: ResourceVector): void {
    adjust(this.usageOf(team).used, amounts, -1);
  }

  /** Whether the team would stay within its quota with the demand added. */
  mayReclaim(team: string, demand: ResourceVector): boolean {
    const used = this.usageByTeam.get(team)?.used ?? ZERO_RESOURCES;
    const quota = this.quotaOf(team);
    return RESOURCE_NAMES.every(n => used[n] + demand[n] <= quota[n]);
  }

  /** Whether the usage without resources being returned exceeds the quota. */
  isBorrowing(team: string): boolean {
    const usage = this.usageByTeam.get(team);
    if (!usage) return false;
    const quota = this.quotaOf(team);
    const {used, returning} = usage;
    return RESOURCE_NAMES.some(n => used[n] - returning[n] > quota[n]);
  }

  startReturn(team: string, amounts: ResourceVector): void {
    adjust(this.usageOf(team).returning, amounts, 1);
  }

  endReturn(team: string, amounts: ResourceVector): void {
    adjust(this.usageOf(team).returning, amounts, -1);
  }

  private quotaOf(team: string): ResourceVector {
    return this.quotas.get(team) ?? ZERO_RESOURCES;
  }

  private usageOf(team: string): TeamUsage {
    let usage = this.usageByTeam.get(team);
    if (!usage) {
      usage = {used: {...ZERO_RESOURCES}, returning: {...ZERO_RESOURCES}};
      this.usageByTeam.set(team, usage);
    }
    return usage;
  }
}

function adjust(
  target: ResourceVector,
  amounts: ResourceVector,
  sign: number,
): void {
  for (const name of RESOURCE_NAMES) target[name] += sign * amounts[name];
}
