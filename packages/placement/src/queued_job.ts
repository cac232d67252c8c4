import type {Earmark} from './earmark.js';
import type {Job} from './job.js';
import type {JobLane} from './job_lane.js';
import type {Vector} from './vector.js';

/** A job that waits in the queue of an owner. */
export interface QueuedJob {
  job: Job;
  demand: Vector;
  /** Indexes of the tasks that still wait. */
  pending: number[];
  /** Order of arrival, which breaks ties between equal deadlines. */
  sequence: number;
  /** Monotonic instant of arrival. */
  enqueuedAt: number;
  isQueued: boolean;
  lane: JobLane;
  /**
   * Monotonic instant from which capacity is kept for the job; set when it
   * is first found blocked.
   */
  reservationDeadline: number;
  earmarks: Earmark[];
  /** Version of the service's capacity at which nothing fitted, or -1. */
  blockedAtVersion: number;
}
