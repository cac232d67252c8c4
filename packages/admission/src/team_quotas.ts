import {
  RESOURCE_NAMES,
  type ResourceVector,
  type Team,
} from '@cardamomfield/types';

const NOTHING: ResourceVector = {
  processorMillicores: 0,
  memoryBytes: 0,
  accelerators: 0,
  slots: 0,
  connections: 0,
};

/** What one team uses of the owner's groups. */
interface TeamAccount {
  used: ResourceVector;
  /** Part of it that preempted tasks are about to give back. */
  returning: ResourceVector;
}

/**
 * The owner's part of the team quotas. A team may use more than its quota
 * while nobody else needs the capacity; a team within its quota takes it back
 * by the preemption of borrowers' batch tasks. It serves a scheduler as its
 * `TeamShares`.
 */
export class TeamQuotas {
  /** Lending is decided by the quotas themselves. */
  readonly lending = this;
  private readonly accounts = new Map<string, TeamAccount>();
  private readonly quotas = new Map<string, ResourceVector>();

  private constructor() {}

  static create(): TeamQuotas {
    return new TeamQuotas();
  }

  /**
   * Sets the quotas in force. `ownedPart` is the part of all capacity that
   * the owner's groups make up, from 0 to 1.
   */
  setTeams(teams: Iterable<Team>, ownedPart: number): void {
    this.quotas.clear();
    for (const team of teams) {
      const quota = {...NOTHING};
      for (const name of RESOURCE_NAMES) {
        quota[name] = Math.floor(team.quota[name] * ownedPart);
      }
      this.quotas.set(team.name, quota);
    }
  }

  /** The team's dominant use as a part of its quota; above 1 it borrows. */
  shareOf(team: string): number {
    const used = this.accounts.get(team)?.used;
    if (!used) return 0;
    const quota = this.quotaOf(team);
    let share = 0;
    for (const name of RESOURCE_NAMES) {
      share = Math.max(share, used[name] / Math.max(1, quota[name]));
    }
    return share;
  }

  add(team: string, amounts: ResourceVector): void {
    change(this.accountOf(team).used, amounts, 1);
  }

  subtract(team: string, amounts: ResourceVector): void {
    change(this.accountOf(team).used, amounts, -1);
  }

  /** Whether the team stays within its quota with the demand added. */
  mayReclaim(team: string, demand: ResourceVector): boolean {
    const used = this.accounts.get(team)?.used ?? NOTHING;
    const quota = this.quotaOf(team);
    return RESOURCE_NAMES.every(n => used[n] + demand[n] <= quota[n]);
  }

  /** Whether the team uses more than its quota, without what it returns. */
  isBorrowing(team: string): boolean {
    const account = this.accounts.get(team);
    if (!account) return false;
    const quota = this.quotaOf(team);
    const {used, returning} = account;
    return RESOURCE_NAMES.some(n => used[n] - returning[n] > quota[n]);
  }

  startReturn(team: string, amounts: ResourceVector): void {
    change(this.accountOf(team).returning, amounts, 1);
  }

  endReturn(team: string, amounts: ResourceVector): void {
    change(this.accountOf(team).returning, amounts, -1);
  }

  private quotaOf(team: string): ResourceVector {
    return this.quotas.get(team) ?? NOTHING;
  }

  private accountOf(team: string): TeamAccount {
    let account = this.accounts.get(team);
    if (!account) {
      account = {used: {...NOTHING}, returning: {...NOTHING}};
      this.accounts.set(team, account);
    }
    return account;
  }
}

function change(
  target: ResourceVector,
  amounts: ResourceVector,
  sign: number,
): void {
  for (const name of RESOURCE_NAMES) target[name] += sign * amounts[name];
}
