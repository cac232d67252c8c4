/** Version of the messages between entry hosts; must match on both sides. */
export const PROTOCOL_VERSION = 1;
