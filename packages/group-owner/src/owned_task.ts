import type {TaskStart, WorkerTask} from '@cardamomfield/platform';
import type {PlacementOrder, TaskUpdate} from '@cardamomfield/peer-protocol';
import type {TaskIdentity} from '@cardamomfield/types';
import {CoordinatorLabel} from './coordinator_label.js';

/** Stage of a task at its owner. */
type Stage =
  'queued' | 'starting' | 'running' | 'in-doubt' | 'stopping' | 'ended';

/** One attempt of a task, as tracked by the owner of its worker's group. */
export class OwnedTask {
  /** Entry host that receives the updates of the task. */
  coordinator: CoordinatorLabel;
  stage: Stage = 'queued';
  worker = '';
  group = '';
  epoch = 0;
  /** Worker incarnation to which the start was sent or that lists the task. */
  workerIncarnation: string | undefined;
  /** Wall-clock instant up to which the task may run without a renewal. */
  leaseDeadline = 0;
  /** Wall-clock instant after which the sent start has no effect. */
  startNotAfter = 0;
  /**
   * Monotonic instant since which the task is known to run. Task lists that
   * were requested earlier may not contain it yet.
   */
  runningSince = 0;
  /** Workers that refused the start. */
  readonly refusedBy: string[] = [];
  /** Reason to stop the task; undefined until a stop is requested. */
  stopReason: string | undefined;
  /** The order that contained the task; undefined for recovered tasks. */
  order: PlacementOrder | undefined;
  update: TaskUpdate | undefined;
  /** Monotonic instant after which the ended task is removed. */
  evictAt: number | undefined;

  private constructor(
    readonly identity: TaskIdentity,
    coordinator: CoordinatorLabel,
    readonly spec: Pick<
      TaskStart,
      'team' | 'service' | 'kind' | 'idempotent' | 'taskCount' | 'demand'
    >,
  ) {
    this.coordinator = coordinator;
  }

  /** Creates a queued task from a coordinator's order. */
  static fromOrder(identity: TaskIdentity, order: PlacementOrder): OwnedTask {
    const coordinator = CoordinatorLabel.create(
      order.coordinator,
      order.coordinatorIncarnation,
    );
    const task = new OwnedTask(identity, coordinator, order);
    task.order = order;
    return task;
  }

  /** Creates a task that was found on a worker. */
  static fromWorker(
    found: WorkerTask,
    location: {worker: string; group: string; incarnation: string},
  ): OwnedTask {
    const coordinator = CoordinatorLabel.parse(found.coordinator);
    const task = new OwnedTask(found.task, coordinator, found);
    task.stage = found.phase === 'running' ? 'running' : 'ended';
    task.worker = location.worker;
    task.group = location.group;
    task.workerIncarnation = location.incarnation;
    task.epoch = found.epoch;
    task.leaseDeadline = found.leaseDeadline;
    return task;
  }

  /** Whether the task is queued here or may run on its worker. */
  isLive(): boolean {
    return this.stage !== 'ended';
  }

  /** Whether a worker may be running the task. */
  mayRun(): boolean {
    return this.isLive() && this.stage !== 'queued';
  }
}
