/** Health of workers, from the ends of their tasks. */
export interface HealthView {
  /** Notes how a task ended or that a start was refused. */
  record(worker: string, service: string, succeeded: boolean): void;

  /** Share of the worker's capacity that may be used; 0 ejects it. */
  weight(worker: string): number;
}
