import {PeerAddress} from './peer_address.js';

/** `name=10.0.0.1:7000` or `name=[fd00::1]:7000`. */
const PEER_PATTERN = /^([^=]+)=(?:\[([^\]]+)\]|([^:]+)):(\d+)$/;

/** Parses `name=address:port`; undefined if the text has another form. */
export function parsePeerAddress(text: string): PeerAddress | undefined {
  const match = PEER_PATTERN.exec(text.trim());
  if (!match) return undefined;
  const parsed = PeerAddress.safeParse({
    name: match[1],
    address: match[2] ?? match[3],
    port: Number(match[4]),
  });
  return parsed.data;
}
