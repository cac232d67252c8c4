import type {OwnerTiming} from './owner_timing.js';
import {WorkerClock} from './worker_clock.js';

/**
 * How late a worker may begin to end its runs after the end of a lease, because
 * its process is busy.
 */
const WORKER_DELAY_MILLISECONDS = 400;

/**
 * What every owner keeps to when it grants a lease, so that a later owner knows
 * when all leases of an owner have ended that it cannot ask.
 */
export class LeaseTerms {
  /** Longest lease, counted from its grant. */
  static readonly leaseMilliseconds = 5_000;

  /**
   * Longest lease, counted from the owner's last proof of its epoch. It keeps
   * runs alive over an outage of the log.
   */
  static readonly afterProofMilliseconds = 8_000;

  /**
   * Time after the end of a lease until its runs have ended: a worker kills
   * them then, which takes as long as a stop.
   */
  static marginMilliseconds({stopMilliseconds}: OwnerTiming): number {
    return WORKER_DELAY_MILLISECONDS + stopMilliseconds;
  }

  /** Longest time until the runs under a lease of the given length have ended. */
  static runMilliseconds(
    leaseMilliseconds: number,
    timing: OwnerTiming,
  ): number {
    return (
      leaseMilliseconds / WorkerClock.slowestRate +
      LeaseTerms.marginMilliseconds(timing)
    );
  }
}
