import type {WorkerState} from './worker_state.js';

/** A ticket for one worker. */
interface Ticket {
  ticket: string;
  workerBornAt: number;
  /** Monotonic deadline. */
  validUntil: number;
}

/** Answers of the advice service for one step and the state of its queries. */
export class StepAdvice {
  /**
   * The last ticket of each approved worker. An approval does not change while
   * the worker's incarnation lasts, so an expired ticket remains here.
   */
  readonly tickets = new Map<string, Ticket>();
  /**
   * Workers that answered queries have named, as `id@bornAt`. A new incarnation
   * counts as another worker.
   */
  readonly queriedWorkers = new Set<string>();
  isQueryInFlight = false;
  /**
   * True while a query that is about to be sent or in flight names workers that
   * are expected to have capacity for all waiting tasks.
   */
  awaitsCapacity = false;
  /** Monotonic deadline before which no further query is sent. */
  notBefore = 0;

  private constructor() {}

  static create(): StepAdvice {
    return new StepAdvice();
  }

  /** True when the service has approved the worker's incarnation. */
  isApproved(worker: WorkerState): boolean {
    const ticket = this.tickets.get(worker.id);
    return ticket?.workerBornAt === worker.description.bornAtUnixMilliseconds;
  }

  /** True when the service was asked about the incarnation and said no. */
  isRejected(worker: WorkerState): boolean {
    return (
      this.queriedWorkers.has(worker.incarnationKey) && !this.isApproved(worker)
    );
  }

  /** The ticket for the worker's incarnation, unless it has expired. */
  ticketFor(worker: WorkerState, now: number): string | undefined {
    const ticket = this.tickets.get(worker.id);
    if (!ticket || !this.isApproved(worker)) return undefined;
    return ticket.validUntil > now ? ticket.ticket : undefined;
  }

  /** Records that a worker refused a ticket as expired. */
  expire(workerId: string, ticket: string): void {
    const last = this.tickets.get(workerId);
    // A newer ticket may have arrived while the start was in flight.
    if (last?.ticket === ticket) last.validUntil = -Infinity;
  }
}
