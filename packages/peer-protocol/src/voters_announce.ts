import {z} from 'zod';
import type {PeerMethod} from './peer_method.js';
import {VotersView} from './voters_view.js';

const Parameters = z.strictObject({voters: VotersView});

const Result = z.strictObject({
  /**
   * Offset of the last voters record that the peer has read from the log. A
   * proposal counts as acknowledged only once this offset has reached it. A
   * peer that has the proposal only from a message may have missed claims
   * before it.
   */
  readOffset: z.int().min(-1),
});

/** Announces a change of the voters. */
export const VotersAnnounce: PeerMethod<
  z.infer<typeof Parameters>,
  z.infer<typeof Result>
> = {name: 'voters.announce', parameters: Parameters, result: Result};
