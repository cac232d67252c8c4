/** Exit codes of the command, for scripts. */
export const ExitCode = {
  ok: 0,
  /** The entry host refused, or the request did not run. */
  refused: 1,
  /** Wrong arguments or a file that can't be used. */
  usage: 2,
  /** The operation may or may not have taken effect. */
  unknown: 3,
  /** No entry host answered; the operation had no effect. */
  unavailable: 4,
} as const;
export type ExitCode = (typeof ExitCode)[keyof typeof ExitCode];
