/** A ticket for one worker. */
interface Ticket {
  ticket: string;
  workerBornAt: number;
  /** Monotonic deadline. */
  validUntil: number;
}

/** Answers of the advice service for one step and the state of its queries. */
export class StepAdvice {
  readonly tickets = new Map<string, Ticket>();
  /**
   * Workers that answered queries have named, as `id@bornAt`. A new incarnation
   * counts as another worker.
   */
  readonly queriedWorkers = new Set<string>();
  isQueryInFlight = false;
  /** Monotonic deadline before which no further query is sent. */
  notBefore = 0;

  private constructor() {}

  static create(): StepAdvice {
    return new StepAdvice();
  }
}
