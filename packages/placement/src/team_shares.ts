import type {ResourceVector} from '@cardamomfield/types';
import type {TeamLending} from './team_lending.js';

/** Accounts for what each team uses, to order the teams in a queue. */
export interface TeamShares {
  /** Part of its due that the team uses; the least goes first. */
  shareOf(team: string): number;

  /** Lending between teams; absent where teams have no quotas. */
  readonly lending?: TeamLending;

  add(team: string, amounts: ResourceVector): void;

  subtract(team: string, amounts: ResourceVector): void;
}
