import type {WorkerDescription} from '@cardamomfield/cell-model';
import type {Run} from './run.js';
import type {StepState} from './step_state.js';
import {WorkerJudgement} from './worker_judgement.js';

/** A worker in its current incarnation and the runs that hold its capacity. */
export class WorkerState {
  /** Runs by task name; one task has at most one run on a worker. */
  readonly runs = new Map<string, Run>();
  usedMilliCores = 0;
  usedMemoryMegabytes = 0;
  usedAccelerators = 0;
  /** True while the worker answers polls and all its runs are known. */
  isUsable = false;
  /** False once the platform's list has omitted the worker for too long. */
  isListed = true;
  /** Monotonic deadline until which the worker gets no new runs. */
  avoidUntil = 0;

  /**
   * Monotonic deadline after which the runs of an unreachable worker count as
   * lost; Infinity while the worker is reachable.
   */
  runsEndAt = Infinity;

  /**
   * True while the worker may hold a lease that is longer than those granted
   * now, so that its loss would be noticed late.
   */
  mayHoldLongLease = false;

  /**
   * Monotonic time of the last failed poll. The ends of runs that were under way
   * then may have been reported late.
   */
  failedPollAt = -Infinity;

  /** What is expected of the worker; `WorkerPerformance` keeps it up to date. */
  judgement = WorkerJudgement.create();

  /** Step that freed capacity is reserved for, until the monotonic deadline. */
  reservedFor: StepState | undefined;
  reservedUntil = 0;

  /** The rack named by the worker's labels; empty when there is none. */
  rack = '';
  /**
   * Identifies the worker's incarnation, as `id@bornAt`. Passes compare it for
   * each step and worker, so it is not built anew each time.
   */
  incarnationKey = '';
  private currentDescription: WorkerDescription;

  private constructor(description: WorkerDescription) {
    this.currentDescription = description;
    this.description = description;
  }

  static create(description: WorkerDescription): WorkerState {
    return new WorkerState(description);
  }

  get id(): string {
    return this.description.id;
  }

  get description(): WorkerDescription {
    return this.currentDescription;
  }

  set description(description: WorkerDescription) {
    this.currentDescription = description;
    this.incarnationKey = `${description.id}@${description.bornAtUnixMilliseconds}`;
    this.rack = description.labels.find(label => RACK_LABEL.test(label)) ?? '';
  }

  add(run: Run): void {
    this.runs.set(run.task.name, run);
    this.usedMilliCores += run.milliCores;
    this.usedMemoryMegabytes += run.memoryMegabytes;
    this.usedAccelerators += run.accelerators;
  }

  remove(run: Run): void {
    if (this.runs.get(run.task.name) !== run) return;
    this.runs.delete(run.task.name);
    this.usedMilliCores -= run.milliCores;
    this.usedMemoryMegabytes -= run.memoryMegabytes;
    this.usedAccelerators -= run.accelerators;
  }

  get freeMilliCores(): number {
    return this.description.milliCores - this.usedMilliCores;
  }

  get freeMemoryMegabytes(): number {
    return this.description.memoryMegabytes - this.usedMemoryMegabytes;
  }

  get freeAccelerators(): number {
    return this.description.accelerators - this.usedAccelerators;
  }
}

/** Rack labels look like `r1-3`. */
const RACK_LABEL = /^r\d+-\d+$/;
