import type {ResourceVector} from '@cardamomfield/types';

/** Accounts for what each team uses, to order the teams in a queue. */
export interface TeamShares {
  /** Part of its due that the team uses; the least goes first. */
  shareOf(team: string): number;

  add(team: string, amounts: ResourceVector): void;

  subtract(team: string, amounts: ResourceVector): void;
}
