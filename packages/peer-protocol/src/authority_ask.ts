import {z} from 'zod';
import {KnownClaim} from './known_claim.js';
import type {PeerMethod} from './peer_method.js';
import {VotersView} from './voters_view.js';

const Parameters = z.strictObject({
  /** The caller has applied every ownership record below this offset. */
  knownOffset: z.int().nonnegative(),
  /** Offset of the last voters record the caller knows. */
  votersOffset: z.int().min(-1),
});

const Result = z.strictObject({
  /** Claims at or above the caller's known offset, of any group. */
  claims: z.array(KnownClaim),
  /** Newer voters; the answer does not count towards a majority then. */
  voters: VotersView.nullable(),
});

/**
 * Asks whether a peer knows a newer claim or newer voters. The question names
 * an offset instead of groups, so its size does not grow with their number.
 */
export const AuthorityAsk: PeerMethod<
  z.infer<typeof Parameters>,
  z.infer<typeof Result>
> = {name: 'authority.ask', parameters: Parameters, result: Result};
