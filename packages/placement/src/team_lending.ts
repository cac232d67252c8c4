import type {ResourceVector} from '@cardamomfield/types';

/** Decides which teams may reclaim lent capacity, and from which teams. */
export interface TeamLending {
  /** Whether the team would stay within its quota with the demand added. */
  mayReclaim(team: string, demand: ResourceVector): boolean;

  /** Whether the team still uses more than its quota. */
  isBorrowing(team: string): boolean;

  /** Records an amount that the team is about to return. */
  startReturn(team: string, amounts: ResourceVector): void;

  /** Records that the team no longer uses the amount. */
  endReturn(team: string, amounts: ResourceVector): void;
}
