/**
 * What a reply turned out to be. Only `matched` reaches a caller. `late`: its
 * attempt was given up; `duplicate`: its attempt has been answered; `crossed`:
 * its attempt was sent on another connection; `foreign`: there is no such
 * attempt.
 */
export type ReplyVerdict =
  'matched' | 'late' | 'duplicate' | 'crossed' | 'foreign';
