/** A ticket for one worker. */
interface Ticket {
  ticket: string;
  workerBornAt: number;
  /** Monotonic deadline. */
  validUntil: number;
}

/** What the advice service has said of one step. */
export class StepAdvice {
  readonly tickets = new Map<string, Ticket>();
  /** Workers asked about so far; a new life counts as another worker. */
  readonly asked = new Set<string>();
  isAsking = false;
  /** Monotonic deadline before which no further question is sent. */
  notBefore = 0;

  private constructor() {}

  static create(): StepAdvice {
    return new StepAdvice();
  }
}
