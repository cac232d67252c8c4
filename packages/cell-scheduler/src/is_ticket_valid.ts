import type {WorkerState} from './worker_state.js';

/** A ticket is used only while it stays valid for longer than this. */
const TICKET_MARGIN_MILLISECONDS = 150;

interface IssuedTicket {
  workerBornAt: number;
  /** Monotonic deadline. */
  validUntil: number;
}

/** True when a ticket is still usable for the worker's incarnation. */
export function isTicketValid(
  ticket: IssuedTicket,
  worker: WorkerState,
  now: number,
): boolean {
  return (
    worker.description.bornAtUnixMilliseconds === ticket.workerBornAt &&
    ticket.validUntil - TICKET_MARGIN_MILLISECONDS > now
  );
}
