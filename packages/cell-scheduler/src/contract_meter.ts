/** Length of the window in which submissions are compared with the weight. */
const WINDOW_MILLISECONDS = 2_000;

/**
 * Least allowance, for teams with a low weight, whose windows hold few
 * submissions.
 */
const LEAST_ALLOWANCE = 12;

/**
 * Rate at which an allowance grows, in weights. With 1, an allowance of 4 counted
 * 14 % of the submissions as excess that arrived at random times at exactly the
 * rate of the contract.
 */
const RATE_TOLERANCE = 1.1;

const MILLISECONDS_PER_SECOND = 1_000;

interface Allowance {
  submissions: number;
  updatedAt: number;
}

/**
 * Compares the accepted submissions of each team with its contract of `weight`
 * submissions a second.
 */
export class ContractMeter {
  private readonly allowances = new Map<string, Allowance>();

  private constructor() {}

  static create(): ContractMeter {
    return new ContractMeter();
  }

  /** True when one more submission would be beyond the team's contract. */
  isExcess(team: string, weight: number, now: number): boolean {
    return this.allowanceOf(team, weight, now).submissions < 1;
  }

  /** Counts an accepted submission. */
  record(team: string, weight: number, now: number): void {
    const allowance = this.allowanceOf(team, weight, now);
    allowance.submissions = Math.max(0, allowance.submissions - 1);
  }

  private allowanceOf(team: string, weight: number, now: number): Allowance {
    const largest = Math.max(
      LEAST_ALLOWANCE,
      (weight * WINDOW_MILLISECONDS) / MILLISECONDS_PER_SECOND,
    );
    const known = this.allowances.get(team);
    const allowance = known ?? {submissions: largest, updatedAt: now};
    if (!known) this.allowances.set(team, allowance);
    const gained =
      ((now - allowance.updatedAt) * weight * RATE_TOLERANCE) /
      MILLISECONDS_PER_SECOND;
    allowance.submissions = Math.min(largest, allowance.submissions + gained);
    allowance.updatedAt = now;
    return allowance;
  }
}
