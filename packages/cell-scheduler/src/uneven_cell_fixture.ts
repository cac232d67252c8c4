import type {StepSpecification} from '@cardamomfield/cell-model';
import {CellFixture} from './cell_fixture.js';
import type {Run} from './run.js';
import {createSubmission} from './step_fixture.js';

const TICK_MILLISECONDS = 50;

/** What the tasks meet; the defaults are an even cell. */
interface Conditions {
  /** Factor on the run times of a worker. */
  slowdown?: (workerId: string, now: number) => number;
  /** Probability that a run fails on a worker. */
  failureShare?: (workerId: string, now: number) => number;
  /** Probability that a run fails by its own fault, by submission. */
  ownFailureShare?: (submissionId: string) => number;
  /** Whether the owner uses what it learns about workers. */
  isBlind?: boolean;
}

/** Plays a cell whose workers may be uneven, on a clock of its own. */
export class UnevenCellFixture {
  readonly cell = CellFixture.create();
  /** Starts in their order. */
  readonly starts: Array<{workerId: string; task: string; at: number}> = [];
  now = 1_000;
  private readonly ends = new Map<Run, {at: number; hasFailed: boolean}>();
  private seed = 7;
  private submissionCount = 0;

  private constructor(private readonly conditions: Conditions) {}

  static create(
    workerCount: number,
    conditions: Conditions = {},
  ): UnevenCellFixture {
    const fixture = new UnevenCellFixture(conditions);
    for (let index = 0; index < workerCount; index++) {
      fixture.cell.addWorker(`w${index}`);
    }
    return fixture;
  }

  /** Adds a submission of one step with an estimate that is off by half. */
  submit(step: Partial<StepSpecification> = {}, prefix = 's'): void {
    const id = `${prefix}${this.submissionCount++}`;
    this.cell.state.add(
      createSubmission(id, {
        taskCount: 10,
        estimatedMilliseconds: 400 + 800 * this.random(),
        ...step,
      }),
    );
  }

  /** Plays until a time; `arrive` is called at each tick. */
  playUntil(end: number, arrive: () => void = () => {}): void {
    for (; this.now < end; this.now += TICK_MILLISECONDS) {
      arrive();
      this.endDue();
      if (!this.conditions.isBlind) this.cell.performance.refresh(this.now);
      for (const {task} of this.cell.pass(this.now).placements) {
        this.start(task.run!);
      }
    }
  }

  /** Number of starts on a worker from a time on. */
  startsOn(workerId: string, from = 0): number {
    return this.starts.filter(
      start => start.workerId === workerId && start.at >= from,
    ).length;
  }

  /** Loses a worker's runs as if it had restarted. */
  restart(workerId: string): void {
    const worker = this.cell.state.workers.get(workerId)!;
    this.cell.performance.noteLoss(workerId, this.now);
    for (const run of [...worker.runs.values()]) {
      this.ends.delete(run);
      this.cell.end(run);
    }
  }

  /** A number from 0 to 1 that depends on the calls before only. */
  random(): number {
    this.seed = (this.seed * 48_271) % 2_147_483_647;
    return this.seed / 2_147_483_647;
  }

  private start(run: Run): void {
    const {workerId, task} = run;
    this.starts.push({workerId, task: task.name, at: this.now});
    const factor = this.conditions.slowdown?.(workerId, this.now) ?? 1;
    const {failureShare, ownFailureShare} = this.conditions;
    const hasFailed =
      this.random() < (failureShare?.(workerId, this.now) ?? 0) ||
      this.random() < (ownFailureShare?.(run.step.submission.id) ?? 0);
    const milliseconds = 800 * (0.75 + 0.5 * this.random()) * factor;
    // Runs that fail usually do so early.
    const share = hasFailed ? 0.1 : 1;
    this.ends.set(run, {at: this.now + milliseconds * share, hasFailed});
  }

  private endDue(): void {
    const {performance, state} = this.cell;
    for (const [run, {at, hasFailed}] of this.ends) {
      if (at > this.now) continue;
      this.ends.delete(run);
      const {step, task, workerId} = run;
      performance.noteEnd(run, hasFailed ? 'failed' : 'done', this.now);
      this.cell.end(run);
      if (hasFailed) {
        task.failures++;
        task.lastFailedWorkerId = workerId;
        task.notBefore = this.now + 30;
        continue;
      }
      task.phase = 'done';
      step.doneCount++;
      if (step.submission.areAllTasksDone) state.remove(step.submission);
    }
  }
}
