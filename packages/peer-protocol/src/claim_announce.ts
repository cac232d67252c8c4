import {z} from 'zod';
import {KnownClaim} from './known_claim.js';
import type {PeerMethod} from './peer_method.js';
import {VotersView} from './voters_view.js';

const Parameters = z.strictObject({
  claims: z.array(KnownClaim),
  /** Offset of the last voters record that the claimant has. */
  votersOffset: z.int().min(-1),
});

const Result = z.strictObject({
  /** Newer claims of the announced groups. */
  claims: z.array(KnownClaim),
  /** Newer voters; such an answer does not count as an acknowledgement. */
  voters: VotersView.nullable(),
});

/** Announces claims that the caller has read as the latest of their groups. */
export const ClaimAnnounce: PeerMethod<
  z.infer<typeof Parameters>,
  z.infer<typeof Result>
> = {name: 'claim.announce', parameters: Parameters, result: Result};
