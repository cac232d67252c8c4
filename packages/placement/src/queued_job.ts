import type {Earmark} from './earmark.js';
import type {Job} from './job.js';
import type {JobLane} from './job_lane.js';
import type {Vector} from './vector.js';

/** A job that waits in the queue of an owner. */
export interface QueuedJob {
  job: Job;
  demand: Vector;
  /** Indexes of the tasks that are not placed yet. */
  pending: number[];
  /** Order of arrival, which breaks ties between equal deadlines. */
  sequence: number;
  /** Monotonic instant of arrival. */
  enqueuedAt: number;
  isQueued: boolean;
  lane: JobLane;
  /**
   * Monotonic instant from which the job may earmark capacity. Set when the
   * job is first found blocked; `Infinity` before that.
   */
  earmarksFrom: number;
  earmarks: Earmark[];
  /** Version of the service's index at which the job was blocked, or -1. */
  blockedAtVersion: number;
}
