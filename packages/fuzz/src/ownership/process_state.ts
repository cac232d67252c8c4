/** One run of a simulated process; its pending events are dropped at its end. */
export interface ProcessState {
  isEnded: boolean;
  /** Global instant until which nothing of this process runs. */
  pausedUntil: number;
}
