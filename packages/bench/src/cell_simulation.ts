import type {Job, WorkerDefinition} from '@cardamomfield/placement';
import {formatTaskIdentity, type TaskIdentity} from '@cardamomfield/types';
import type {Scheduler} from './scheduler.js';
import {EventQueue} from './event_queue.js';
import type {SimulatedClock} from './simulated_clock.js';

/** Maximum number of decisions in one scheduling pass. */
const MAXIMUM_DECISIONS = 1_000;

/** Callbacks of a measurement that the simulated cell calls. */
interface SimulationHooks {
  /** Called when a task starts; returns its run time. */
  onStart(job: Job, task: TaskIdentity, worker: string): number;
  onEnd?(job: Job, task: TaskIdentity, worker: string): void;
  onExpire?(job: Job): void;
}

interface RunningTask {
  job: Job;
  task: TaskIdentity;
  worker: string;
}

/**
 * Runs a scheduler on an event queue. Jobs arrive, and tasks end after their
 * run time. Preempted tasks end after a grace period and are requeued.
 */
export class CellSimulation {
  private readonly events = EventQueue.create();
  private readonly running = new Map<string, RunningTask>();
  private isDecisionPending = false;

  private constructor(
    private readonly clock: SimulatedClock,
    private readonly scheduler: Scheduler,
    private readonly hooks: SimulationHooks,
    private readonly preemptionGraceMilliseconds: number,
  ) {}

  static create(
    clock: SimulatedClock,
    scheduler: Scheduler,
    hooks: SimulationHooks,
    preemptionGraceMilliseconds = 500,
  ): CellSimulation {
    return new CellSimulation(
      clock,
      scheduler,
      hooks,
      preemptionGraceMilliseconds,
    );
  }

  addWorkers(workers: WorkerDefinition[]): void {
    for (const worker of workers) this.scheduler.setWorker(worker);
  }

  scheduleAt(time: number, action: () => void): void {
    this.events.push(time, action);
  }

  submit(job: Job): void {
    this.scheduler.enqueue(job);
    this.requestDecisions();
  }

  /** Runs the events up to the given time. */
  runUntil(endTask: number): void {
    for (;;) {
      const event = this.events.popUntil(endTask);
      if (!event) break;
      this.clock.now = Math.max(this.clock.now, event.time);
      event.action();
    }
    this.clock.now = endTask;
  }

  /** Schedules one scheduling pass for all events of the same time. */
  requestDecisions(): void {
    if (this.isDecisionPending) return;
    this.isDecisionPending = true;
    this.scheduleAt(this.clock.now, () => {
      this.isDecisionPending = false;
      this.decide();
    });
  }

  private decide(): void {
    const decisions = this.scheduler.schedule(MAXIMUM_DECISIONS);
    for (const decision of decisions) {
      if (decision.type === 'place') {
        this.startTask(decision.job, decision.task, decision.worker);
      } else if (decision.type === 'preempt') {
        const name = formatTaskIdentity(decision.task);
        const time = this.clock.now + this.preemptionGraceMilliseconds;
        this.scheduleAt(time, () => this.endPreempted(name));
      } else {
        this.hooks.onExpire?.(decision.job);
      }
    }
    if (decisions.length >= MAXIMUM_DECISIONS) this.requestDecisions();
  }

  private startTask(job: Job, task: TaskIdentity, worker: string): void {
    const name = formatTaskIdentity(task);
    this.running.set(name, {job, task, worker});
    const end = this.clock.now + this.hooks.onStart(job, task, worker);
    this.scheduleAt(end, () => this.end(name));
  }

  private end(name: string): RunningTask | undefined {
    const running = this.running.get(name);
    if (!running) return undefined;
    this.running.delete(name);
    this.hooks.onEnd?.(running.job, running.task, running.worker);
    this.scheduler.release(running.task);
    this.requestDecisions();
    return running;
  }

  /** Requeues a preempted task. It starts over; its earlier work is lost. */
  private endPreempted(name: string): void {
    const running = this.end(name);
    if (!running) return;
    const {job, task} = running;
    this.submit({
      ...job,
      taskIndexes: [task.index],
      attempt: job.attempt + 1,
    });
  }
}
