import {ConfigurationState} from '@cardamomfield/types';
import {z} from 'zod';
import type {PeerMethod} from './peer_method.js';

const Parameters = z.strictObject({
  /** Lowest acceptable version; a peer with a lower one refuses. */
  atLeast: z.int().min(-1),
});

const Result = z.strictObject({
  version: z.int().min(-1),
  state: ConfigurationState,
});

/** Asks a peer for the configuration that it has in force. */
export const configurationFetch: PeerMethod<
  z.infer<typeof Parameters>,
  z.infer<typeof Result>
> = {name: 'configuration.fetch', parameters: Parameters, result: Result};
