import type {ResourceVector} from '@cardamomfield/types';

/** Decides which teams may take back what they have lent, and from whom. */
export interface TeamLending {
  /** Whether the team would stay within its quota with the demand added. */
  mayReclaim(team: string, demand: ResourceVector): boolean;

  /** Whether the team still uses more than its quota. */
  isBorrowing(team: string): boolean;

  /** Notes an amount that the team is about to give back. */
  startReturn(team: string, amounts: ResourceVector): void;

  /** Notes that the amount is no longer used. */
  endReturn(team: string, amounts: ResourceVector): void;
}
