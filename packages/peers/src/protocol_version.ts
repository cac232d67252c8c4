/** Version of the messages between entry hosts; both sides must agree. */
export const PROTOCOL_VERSION = 1;
