/** Address on which a peer listens. */
export interface PeerAddress {
  name: string;
  /** IP address. */
  address: string;
  port: number;
}
