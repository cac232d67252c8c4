import {z} from 'zod';
import {KnownClaim} from './known_claim.js';
import type {PeerMethod} from './peer_method.js';
import {VotersView} from './voters_view.js';

const Parameters = z.strictObject({
  /** The caller has applied every ownership record below this offset. */
  knownOffset: z.int().nonnegative(),
  /** Offset of the last voters record that the caller has. */
  votersOffset: z.int().min(-1),
});

const Result = z.strictObject({
  /** Claims at or above the caller's known offset, of any group. */
  claims: z.array(KnownClaim),
  /** Newer voters; such an answer does not count towards a majority. */
  voters: VotersView.nullable(),
});

/**
 * Asks a peer for newer claims and newer voters. The query holds an offset
 * instead of groups, so its size does not grow with the number of groups.
 */
export const AuthorityQuery: PeerMethod<
  z.infer<typeof Parameters>,
  z.infer<typeof Result>
> = {name: 'authority.ask', parameters: Parameters, result: Result};
