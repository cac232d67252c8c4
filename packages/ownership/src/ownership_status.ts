import type {VotersView} from '@cardamomfield/peer-protocol';

/** What one process knows about ownership, for operators. */
export interface OwnershipStatus {
  process: string;
  incarnation: string;
  isReady: boolean;
  nextOffset: number;
  voters: VotersView;
  authorityRemainingMilliseconds: number;
  groups: Array<{
    group: string;
    epoch: number;
    deputy: string | null;
    isInEffect: boolean;
    isHeld: boolean;
  }>;
}
