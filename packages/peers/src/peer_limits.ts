/** Limits of each connection between entry hosts. */
export interface PeerLimits {
  /** A larger frame closes the connection. */
  maximumFrameBytes: number;
  /** Calls awaiting an answer, in each direction. */
  maximumCallsInFlight: number;
  /** Bytes buffered for the socket; a message beyond this is refused. */
  maximumSendBufferBytes: number;
}
