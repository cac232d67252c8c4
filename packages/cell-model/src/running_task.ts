/** One run that a worker has at present. */
export interface RunningTask {
  taskName: string;
  attempt: number;
  checkpoint: string;
  progressPercent: number;
  /** Tail in milliseconds for a serving task, else processors in use. */
  load: number;
}
