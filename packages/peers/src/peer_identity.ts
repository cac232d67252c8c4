/** Name and incarnation of a peer, as its `hello` gave them. */
export interface PeerIdentity {
  name: string;
  incarnation: string;
}
