/** A connection that receives no message for this long is replaced. */
export const SILENCE_MILLISECONDS = 2_000;
