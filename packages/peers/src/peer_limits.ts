/** Bounds of each connection between entry hosts. */
export interface PeerLimits {
  /** A larger frame closes the connection. */
  maximumFrameBytes: number;
  /** Calls awaiting an answer, in each direction. */
  maximumCallsInFlight: number;
  /** Bytes waiting for the socket; more are refused. */
  maximumSendBufferBytes: number;
}
