import type {WorkerState} from './worker_state.js';

/** A ticket is used only while it has at least this long to live. */
const TICKET_MARGIN_MILLISECONDS = 150;

interface IssuedTicket {
  workerBornAt: number;
  /** Monotonic deadline. */
  validUntil: number;
}

/** True when a ticket still serves for this life of the worker. */
export function isFresh(
  ticket: IssuedTicket,
  worker: WorkerState,
  now: number,
): boolean {
  return (
    worker.description.bornAtUnixMilliseconds === ticket.workerBornAt &&
    ticket.validUntil - TICKET_MARGIN_MILLISECONDS > now
  );
}
