import type {VotersView} from '@cardamomfield/peer-protocol';

/** Ownership as one process sees it, for operators. */
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
