import type {QueuedJob} from './queued_job.js';
import type {ScheduleDecision} from './schedule_decision.js';

/** The decision that reports a job whose deadline passed in the queue. */
export function toExpireDecision(entry: QueuedJob): ScheduleDecision {
  return {
    type: 'expire',
    key: entry.job.key,
    attempt: entry.job.attempt,
    taskIndexes: entry.pending,
    job: entry.job,
  };
}
