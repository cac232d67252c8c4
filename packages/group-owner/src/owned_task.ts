import type {TaskStart, WorkerTask} from '@cardamomfield/platform';
import type {PlaceOrder, TaskUpdate} from '@cardamomfield/peer-protocol';
import type {TaskIdentity} from '@cardamomfield/types';
import {CoordinatorLabel} from './coordinator_label.js';

/** Where a task stands at its owner. */
type Stage =
  'queued' | 'starting' | 'running' | 'in-doubt' | 'stopping' | 'ended';

/** One attempt of one task, as the owner of its worker's group knows it. */
export class OwnedTask {
  /** Entry host that is told of the task. */
  coordinator: CoordinatorLabel;
  stage: Stage = 'queued';
  worker = '';
  group = '';
  epoch = 0;
  /** Worker incarnation under which the start was sent or seen. */
  workerIncarnation: string | undefined;
  /** Wall-clock instant up to which the task may run without renewal. */
  leaseDeadline = 0;
  /** Wall-clock instant after which the sent start has no effect. */
  startNotAfter = 0;
  /**
   * Monotonic instant since which the task is known to run. Lists that were
   * asked for earlier may not show it yet.
   */
  runningSince = 0;
  /** Workers that refused the start. */
  readonly refusedBy: string[] = [];
  /** Why the task is to be stopped, once that is wanted. */
  stopReason: string | undefined;
  /** The order that brought the task; absent for recovered tasks. */
  order: PlaceOrder | undefined;
  update: TaskUpdate | undefined;
  /** Monotonic instant after which an ended task is forgotten. */
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

  /** A task from a coordinator's order; it waits in the queue. */
  static fromOrder(identity: TaskIdentity, order: PlaceOrder): OwnedTask {
    const coordinator = CoordinatorLabel.create(
      order.coordinator,
      order.coordinatorIncarnation,
    );
    const task = new OwnedTask(identity, coordinator, order);
    task.order = order;
    return task;
  }

  /** A task that was found on a worker. */
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

  /** Whether the task waits here or may run on its worker. */
  isLive(): boolean {
    return this.stage !== 'ended';
  }

  /** Whether a worker may be running the task. */
  mayRun(): boolean {
    return this.isLive() && this.stage !== 'queued';
  }
}
