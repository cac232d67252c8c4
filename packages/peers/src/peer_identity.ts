/** Name and incarnation of a peer, from its `hello`. */
export interface PeerIdentity {
  name: string;
  incarnation: string;
}
