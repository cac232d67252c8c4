import {PeerAddress} from './peer_address.js';

/** `name=10.0.0.1:7000` or `name=[fd00::1]:7000`. */
const PEER_TEXT = /^([^=]+)=(?:\[([^\]]+)\]|([^:]+)):(\d+)$/;

/** Reads `name=address:port`; undefined when the text is not of that form. */
export function parsePeerAddress(text: string): PeerAddress | undefined {
  const match = PEER_TEXT.exec(text.trim());
  if (!match) return undefined;
  const parsed = PeerAddress.safeParse({
    name: match[1],
    address: match[2] ?? match[3],
    port: Number(match[4]),
  });
  return parsed.data;
}
