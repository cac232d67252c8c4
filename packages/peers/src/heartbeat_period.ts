/** Time between two heartbeats on one connection. */
export const HEARTBEAT_PERIOD_MILLISECONDS = 500;
