import type {ResourceAmounts} from '@cardamomfield/cell-scheduler';
import type {RunLedger} from './run_ledger.js';
import type {SimulatedTeams} from './simulated_teams.js';

/** Share by which running work may exceed a limit (`quota_overage`). */
const OVERAGE = 0.1;

/** For this time an earlier desired state may still be followed. */
const APPLY_MILLISECONDS = 4_000;

interface TeamLedgerOptions {
  ledger: RunLedger;
  teams: SimulatedTeams;
  /** The team of a task, and what the task needs. */
  describe: (taskName: string) => {team: string; need: ResourceAmounts};
}

/** Checks the limits of teams by what their workers run. */
export class TeamLedger {
  /** Number of starts with another run of the team, which the check needs. */
  checked = 0;

  private constructor(private readonly options: TeamLedgerOptions) {}

  static create(options: TeamLedgerOptions): TeamLedger {
    return new TeamLedger(options);
  }

  /**
   * Checks the start of a run by an order that left its owner at `sentAt`. The
   * limits since then count, as the owner cannot take back an order.
   */
  recordStart(taskName: string, sentAt: number): void {
    const {ledger, teams, describe} = this.options;
    const {team, need} = describe(taskName);
    if (team === '') return;
    for (const resource of ['milliCores', 'memoryMegabytes'] as const) {
      let used = 0;
      let largest = need[resource];
      for (const other of ledger.runningCopies()) {
        const described = describe(other);
        if (described.team !== team) continue;
        used += described.need[resource];
        largest = Math.max(largest, described.need[resource]);
      }
      if (used > largest) this.checked++;
      const since = sentAt - APPLY_MILLISECONDS;
      const limit = teams.highestLimit(team, resource, since);
      if (used <= limit * (1 + OVERAGE) + largest) continue;
      ledger.violations.push(
        `team ${team} runs ${used} of ${limit} ${resource} with ${taskName}`,
      );
    }
  }
}
