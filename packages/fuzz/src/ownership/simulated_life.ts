/** One run of a simulated process; its pending work vanishes when it ends. */
export interface SimulatedLife {
  isEnded: boolean;
  /** Global instant until which nothing of this process runs. */
  pausedUntil: number;
}
