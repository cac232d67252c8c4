/**
 * Classification of a reply. Only a `matched` reply is delivered to a caller.
 * `late`: its attempt was abandoned or timed out; `duplicate`: its attempt was
 * already answered; `crossed`: its attempt was sent on another connection;
 * `foreign`: its attempt is unknown.
 */
export type ReplyVerdict =
  'matched' | 'late' | 'duplicate' | 'crossed' | 'foreign';
