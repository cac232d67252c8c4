import type {EndedSubmission, ShardState} from '@cardamomfield/cell-scheduler';

/** Runs of an ended submission on one worker. */
interface EndedRun {
  submissionId: string;
  ended: EndedSubmission;
  workerId: string;
}

/**
 * Counts the runs of submissions that ended under earlier owners for their
 * teams until they have certainly ended. No other record of these runs is left.
 */
export class EndedRuns {
  private readonly held = new Set<EndedRun>();

  private constructor(
    private readonly state: ShardState,
    private readonly onEnded: (submissionId: string) => void,
  ) {}

  /** `onEnded` is called when the last run of a submission has ended. */
  static restore(
    state: ShardState,
    onEnded: (submissionId: string) => void,
  ): EndedRuns {
    const runs = new EndedRuns(state, onEnded);
    for (const [submissionId, ended] of state.ended) {
      if (!ended.remaining) continue;
      const {workers, ...owner} = ended.remaining;
      for (const [
        workerId,
        milliCores,
        memoryMegabytes,
        accelerators,
      ] of workers) {
        const run = {submissionId, ended, workerId};
        runs.held.add(run);
        state.teamUsage.hold(run, {
          ...owner,
          milliCores,
          memoryMegabytes,
          accelerators,
        });
      }
    }
    return runs;
  }

  /** Stops counting runs on workers that can hold none of them any more. */
  check(hasNone: (workerId: string) => boolean): void {
    for (const run of this.held) {
      if (!hasNone(run.workerId)) continue;
      this.held.delete(run);
      this.state.teamUsage.remove(run);
      const {ended, workerId, submissionId} = run;
      const workers = ended.remaining?.workers.filter(
        ([id]) => id !== workerId,
      );
      if (!ended.remaining || !workers) continue;
      if (workers.length > 0) {
        ended.remaining.workers = workers;
        continue;
      }
      ended.remaining = undefined;
      this.onEnded(submissionId);
    }
  }
}
