import type {
  EndedSubmission,
  SubmissionRecord,
} from '@cardamomfield/cell-scheduler';

/**
 * What the runs of an ending submission hold on each worker; undefined without
 * a team or without runs. Starts that were not sent yet are withdrawn with the
 * submission, and do not count.
 */
export function remainingOf(
  submission: SubmissionRecord,
): EndedSubmission['remaining'] {
  const {team, queue} = submission;
  if (team === '') return undefined;
  const workers = new Map<string, [string, number, number, number]>();
  for (const {specification, tasks} of submission.occurrences.flat()) {
    for (const {run} of tasks) {
      if (!run || run.phase === 'recording') continue;
      const row = workers.get(run.workerId) ?? [run.workerId, 0, 0, 0];
      row[1] += specification.milliCores;
      row[2] += specification.memoryMegabytes;
      row[3] += specification.accelerators;
      workers.set(run.workerId, row);
    }
  }
  if (workers.size === 0) return undefined;
  const {service, priority} = queue;
  return {team, service, priority, workers: [...workers.values()]};
}
