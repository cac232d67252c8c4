import type {ResourceVector} from '@cardamomfield/types';
import type {TeamLending} from './team_lending.js';

/** Tracks the resource usage of each team, to order the teams in a queue. */
export interface TeamShares {
  /** Used share of the team's entitlement; the lowest goes first. */
  shareOf(team: string): number;

  /** Lending between teams; absent where teams have no quotas. */
  readonly lending?: TeamLending;

  add(team: string, amounts: ResourceVector): void;

  subtract(team: string, amounts: ResourceVector): void;
}
