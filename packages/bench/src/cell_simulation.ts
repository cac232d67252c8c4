import type {Job, WorkerDefinition} from '@cardamomfield/placement';
import {formatTaskIdentity, type TaskIdentity} from '@cardamomfield/types';
import type {DecisionMaker} from './decision_maker.js';
import {EventQueue} from './event_queue.js';
import type {SimulatedClock} from './simulated_clock.js';

/** Decisions taken at once between two events. */
const SCHEDULE_LIMIT = 1_000;

/** Hooks of a measurement into the simulated cell. */
interface Observer {
  /** Returns the run time of a task that starts. */
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
 * Runs a decision maker against an event queue: jobs arrive, tasks end after
 * their run time, preempted tasks end after a grace time and queue again.
 */
export class CellSimulation {
  private readonly events = EventQueue.create();
  private readonly running = new Map<string, RunningTask>();
  private isScheduled = false;

  private constructor(
    private readonly clock: SimulatedClock,
    private readonly scheduler: DecisionMaker,
    private readonly observer: Observer,
    private readonly preemptionMilliseconds: number,
  ) {}

  static create(
    clock: SimulatedClock,
    scheduler: DecisionMaker,
    observer: Observer,
    preemptionMilliseconds = 500,
  ): CellSimulation {
    return new CellSimulation(
      clock,
      scheduler,
      observer,
      preemptionMilliseconds,
    );
  }

  addWorkers(workers: WorkerDefinition[]): void {
    for (const worker of workers) this.scheduler.setWorker(worker);
  }

  at(time: number, act: () => void): void {
    this.events.push(time, act);
  }

  submit(job: Job): void {
    this.scheduler.enqueue(job);
    this.requestDecisions();
  }

  /** Runs the events up to the given time. */
  runUntil(end: number): void {
    for (;;) {
      const event = this.events.popUntil(end);
      if (!event) break;
      this.clock.now = Math.max(this.clock.now, event.time);
      event.act();
    }
    this.clock.now = end;
  }

  /** Decides once for all events of the same instant. */
  requestDecisions(): void {
    if (this.isScheduled) return;
    this.isScheduled = true;
    this.at(this.clock.now, () => {
      this.isScheduled = false;
      this.decide();
    });
  }

  private decide(): void {
    const decisions = this.scheduler.schedule(SCHEDULE_LIMIT);
    for (const decision of decisions) {
      if (decision.type === 'place') {
        this.start(decision.job, decision.task, decision.worker);
      } else if (decision.type === 'preempt') {
        const name = formatTaskIdentity(decision.task);
        const time = this.clock.now + this.preemptionMilliseconds;
        this.at(time, () => this.stop(name));
      } else {
        this.observer.onExpire?.(decision.job);
      }
    }
    if (decisions.length >= SCHEDULE_LIMIT) this.requestDecisions();
  }

  private start(job: Job, task: TaskIdentity, worker: string): void {
    const name = formatTaskIdentity(task);
    this.running.set(name, {job, task, worker});
    const end = this.clock.now + this.observer.onStart(job, task, worker);
    this.at(end, () => this.end(name));
  }

  private end(name: string): RunningTask | undefined {
    const running = this.running.get(name);
    if (!running) return undefined;
    this.running.delete(name);
    this.observer.onEnd?.(running.job, running.task, running.worker);
    this.scheduler.release(running.task);
    this.requestDecisions();
    return running;
  }

  /** A preempted task starts anew; its work so far is lost. */
  private stop(name: string): void {
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
