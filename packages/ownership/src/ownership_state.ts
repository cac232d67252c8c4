import type {VotersView} from '@cardamomfield/peer-protocol';
import type {GroupClaim} from './group_claim.js';

/** Voters and claims after the records of stream `ownership` read so far. */
export interface OwnershipState {
  readonly voters: VotersView;
  /** The latest claim of each group that was ever claimed. */
  readonly claims: ReadonlyMap<string, GroupClaim>;
}
