/** One run that is in progress on a worker. */
export interface RunningTask {
  taskName: string;
  attempt: number;
  checkpoint: string;
  progressPercent: number;
  /** Tail latency in ms for a serving task, otherwise processors in use. */
  load: number;
}
