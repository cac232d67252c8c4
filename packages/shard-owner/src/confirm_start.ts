import type {Run} from '@cardamomfield/cell-scheduler';

/** Records that the worker has started a run; `now` is monotonic. */
export function confirmStart(run: Run, now: number): void {
  run.phase = 'running';
  run.runningSince = now;
  run.checkpointedAt = now;
  run.progressedAt = now;
  run.step.submission.hasStarted = true;
}
