/**
 * How a call ended for its connection: with an answer, with the connection, or
 * before it was sent, since its time limit had passed.
 */
export type CallRelease = 'answered' | 'failed' | 'unsent';
