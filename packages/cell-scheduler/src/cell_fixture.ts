import type {Team, WorkerDescription} from '@cardamomfield/cell-model';
import {NearPlacePolicy} from './near_place_policy.js';
import type {NearPlaceRule} from './near_place_rule.js';
import type {Placement} from './placement.js';
import {PriorityOrder} from './priority_order.js';
import type {Run} from './run.js';
import {Scheduler} from './scheduler.js';
import type {SchedulingPass} from './scheduling_pass.js';
import {ShardState} from './shard_state.js';
import type {StepState} from './step_state.js';
import type {TaskState} from './task_state.js';
import {TeamDirectory} from './team_directory.js';
import {WorkerChoice} from './worker_choice.js';
import {WorkerPerformance} from './worker_performance.js';
import {WorkerState} from './worker_state.js';

/** A shard with its scheduler for tests; placed runs count as running. */
export class CellFixture {
  readonly state = ShardState.create();
  readonly performance = WorkerPerformance.create(this.state.workers);
  /** Number of queries to the advice service that can be sent in a pass. */
  adviceRoom = Infinity;
  /** Undefined where the desired state names no teams. */
  teams: Team[] | undefined;
  private readonly scheduler: Scheduler;

  private constructor(farPlacePenalty: number, nearPlaces?: NearPlaceRule) {
    const choice = WorkerChoice.create(farPlacePenalty);
    this.scheduler = Scheduler.create(
      this.state,
      PriorityOrder.create(),
      choice,
      {countFor: () => this.adviceRoom},
      TeamDirectory.create(() => ({teams: this.teams})),
      nearPlaces ??
        NearPlacePolicy.create({
          farPlacePenalty,
          choice,
          performance: this.performance,
        }),
    );
  }

  /** `nearPlaces` replaces the rule about waits for near places. */
  static create(farPlacePenalty = 1, nearPlaces?: NearPlaceRule): CellFixture {
    return new CellFixture(farPlacePenalty, nearPlaces);
  }

  addWorker(
    id: string,
    description: Partial<WorkerDescription> = {},
  ): WorkerState {
    const worker = WorkerState.create({
      id,
      service: 'service',
      address: '10.0.0.1:1',
      availabilityZone: 'zone',
      state: 'ready',
      milliCores: 4_000,
      memoryMegabytes: 4_000,
      accelerators: 0,
      labels: [],
      bornAtUnixMilliseconds: 1,
      ...description,
    });
    worker.isUsable = true;
    this.state.workers.set(id, worker);
    return worker;
  }

  /** Runs one scheduling pass at a monotonic time. */
  pass(
    now: number,
    maximumPlacements = Infinity,
    nowUnixMilliseconds = 0,
  ): SchedulingPass {
    return this.scheduler.pass(
      now,
      nowUnixMilliseconds,
      maximumPlacements,
      placement => this.place(placement, now),
    );
  }

  /** Ends a run as if its worker had reported the end. */
  end(run: Run): void {
    this.state.workers.get(run.workerId)?.remove(run);
    this.state.teamUsage.remove(run);
    run.task.run = undefined;
    run.task.phase = 'waiting';
    run.phase = 'gone';
  }

  /** Runs a task on a worker as if it had been placed there at the time. */
  run(step: StepState, task: TaskState, worker: WorkerState, at = 0): void {
    this.place({step, task, worker, ticket: ''}, at);
  }

  private place(placement: Placement, now: number): void {
    const {step, task, worker, ticket} = placement;
    const {specification} = step;
    const run: Run = {
      step,
      task,
      attempt: 1,
      workerId: worker.id,
      phase: 'running',
      milliCores: specification.usesSpareCapacity
        ? 0
        : specification.milliCores,
      memoryMegabytes: specification.memoryMegabytes,
      accelerators: specification.accelerators,
      ticket,
      hasUnansweredStart: false,
      isStartAnswered: true,
      isAdopted: false,
      notLostBefore: -Infinity,
      placedAt: now,
      runningSince: now,
      progressPercent: 0,
      checkpointedAt: now,
      progressedAt: now,
      load: 0,
      pacePercent: 100,
    };
    task.phase = 'placed';
    task.run = run;
    worker.add(run);
    this.state.teamUsage.add(run);
  }
}
