import {Notifier} from '@cardamomfield/clock';
import {RefusedError, type TypedError} from '@cardamomfield/errors';
import {
  CANCEL_TASKS,
  FIND_TASKS,
  FOLLOW_TASK,
  type KnownTask,
  OWNER_SUMMARY_SECTION,
  type OwnerSummary,
  PLACE_TASKS,
  type PlacementOrder,
} from '@cardamomfield/peer-protocol';
import type {Job, ScheduleDecision} from '@cardamomfield/placement';
import type {HostList, WorkerConnector} from '@cardamomfield/platform';
import type {
  ConfigurationState,
  Rule,
  TaskIdentity,
  Worker,
} from '@cardamomfield/types';
import {type Either, Left, Right} from 'purify-ts';
import {CoordinatorLabel} from './coordinator_label.js';
import {DeputyRenewals} from './deputy_renewals.js';
import {Dispatcher} from './dispatcher.js';
import {GroupOwnerSettings} from './group_owner_settings.js';
import {groupWorkersByRack} from './group_workers_by_rack.js';
import {LeaseRenewer} from './lease_renewer.js';
import {HostListPoller} from './host_list_poller.js';
import {OwnedTask} from './owned_task.js';
import type {OwnerContext} from './owner_context.js';
import {summariseOffers} from './summarise_offers.js';
import {TaskRegistry} from './task_registry.js';
import {TaskTransitions} from './task_transitions.js';
import {TaskStopper} from './task_stopper.js';
import {UpdateSender} from './update_sender.js';
import {SnapshotReconciler} from './snapshot_reconciler.js';
import {WorkerSessions} from './worker_sessions.js';

/** Decisions per batch; the event loop runs other work between batches. */
const DECISION_BATCH = 256;

/** Longest pause between two checks of authority, health and queues. */
const REFRESH_MILLISECONDS = 250;

/** How long a computed summary is cached. */
const SUMMARY_MILLISECONDS = 100;

interface GroupOwnerOptions extends Omit<
  OwnerContext,
  'settings' | 'registry' | 'updates' | 'workNotifier'
> {
  incarnation: string;
  connector: WorkerConnector;
  hosts: HostList;
  settings?: Partial<GroupOwnerSettings>;
  /** The rule that applies to an order, if any. */
  ruleFor: (order: PlacementOrder) => Rule | undefined;
}

/**
 * Runs all worker groups that this process owns: queues tasks, starts and stops
 * them on workers and reports their state to coordinators.
 */
export class GroupOwner {
  private readonly context: OwnerContext;
  private readonly sessions: WorkerSessions;
  private readonly transitions: TaskTransitions;
  private readonly stopper: TaskStopper;
  private readonly dispatcher: Dispatcher;
  private readonly leaseRenewer: LeaseRenewer;
  private readonly deputyRenewals: DeputyRenewals;
  private readonly hostListPoller: HostListPoller;
  private workersByGroup: ReadonlyMap<string, readonly Worker[]> = new Map();
  private isClosed = false;
  private latestSummary: {value: OwnerSummary; until: number} | undefined;

  private constructor(private readonly options: GroupOwnerOptions) {
    const {clock, network, connector, hosts} = options;
    this.context = {
      ...options,
      settings: GroupOwnerSettings.parse(options.settings ?? {}),
      registry: TaskRegistry.create(),
      updates: UpdateSender.create({network, clock}),
      workNotifier: Notifier.create(clock),
    };
    const {context} = this;
    this.transitions = TaskTransitions.create(context);
    this.sessions = WorkerSessions.create({
      context,
      connector,
      onSnapshot: (session, snapshot, read) =>
        reconciler.reconcile(session, snapshot, read),
    });
    const {sessions, transitions} = this;
    this.stopper = TaskStopper.create(context, sessions, transitions);
    const reconciler = SnapshotReconciler.create(
      context,
      sessions,
      transitions,
      this.stopper,
    );
    this.dispatcher = Dispatcher.create(
      context,
      sessions,
      transitions,
      this.stopper,
      task => this.requeue(task),
    );
    this.leaseRenewer = LeaseRenewer.create(context, sessions, transitions);
    this.hostListPoller = HostListPoller.create(
      context,
      hosts,
      sessions,
      this.stopper,
    );
    this.deputyRenewals = DeputyRenewals.create({
      context,
      connector,
      workersByGroup: () => this.workersByGroup,
    });
  }

  static create(options: GroupOwnerOptions): GroupOwner {
    const owner = new GroupOwner(options);
    owner.registerHandlers();
    return owner;
  }

  /** Runs all loops of the owner until the signal aborts. */
  async run(signal: AbortSignal): Promise<void> {
    this.context.updates.start(signal);
    await Promise.all([
      this.runScheduling(signal),
      this.leaseRenewer.run(signal),
      this.hostListPoller.run(signal),
      this.deputyRenewals.run(signal),
    ]);
    this.sessions.close();
  }

  /** Sets the current inventory. */
  setConfiguration(configuration: ConfigurationState): void {
    this.workersByGroup = groupWorkersByRack(configuration);
    this.sessions.setConfiguration(configuration);
  }

  /** Starts serving a group; called when its claim takes effect. */
  addGroup(group: string, epoch: number): void {
    this.context.timeline.record('group.gained', {group, epoch});
    this.sessions.addGroup(group, epoch);
  }

  /**
   * Stops serving a group. The state of tasks on its workers is determined by
   * the next owner.
   */
  removeGroup(group: string): void {
    const {registry, timeline} = this.context;
    timeline.record('group.lost', {group});
    this.sessions.removeGroup(group);
    for (const worker of this.workersByGroup.get(group) ?? []) {
      // The coordinator then searches for the task: the next owner may have
      // found it on its worker, or the worker may have lost it meanwhile.
      for (const task of registry.ofWorker(worker.name)) {
        this.transitions.abandon(task, 'the group has another owner');
      }
    }
    this.withdrawUnservable();
  }

  /** Refuses new work and returns queued work to its coordinators. */
  close(): void {
    this.isClosed = true;
    for (const task of [...this.context.registry.all()]) {
      if (task.stage === 'queued') this.withdraw(task, 'the owner shuts down');
    }
  }

  /** Number of starts without a confirmed result. */
  countStarting(): number {
    let count = 0;
    for (const task of this.context.registry.all()) {
      if (task.stage === 'starting' || task.stage === 'in-doubt') count += 1;
    }
    return count;
  }

  /** Number of updates not yet delivered to live coordinators. */
  countUndelivered(): number {
    return this.context.updates.countDeliverable();
  }

  /** Groups whose workers were all read fully, with the epoch of the reads. */
  fullyReadGroups(): ReadonlyMap<string, number> {
    return this.sessions.fullyReadGroups();
  }

  /** Tasks that have not ended and whose coordinator is not connected. */
  findOrphanedTasks(): Array<{key: string; coordinator: CoordinatorLabel}> {
    return [...this.context.registry.all()]
      .filter(task => task.isLive() && !this.isConnected(task.coordinator))
      .map(({identity, coordinator}) => ({key: identity.key, coordinator}));
  }

  /** Free capacity and expected waits of this owner, for coordinators. */
  summary(): OwnerSummary {
    const now = this.context.clock.monotonicNow();
    if (this.latestSummary && now < this.latestSummary.until) {
      return this.latestSummary.value;
    }
    const value = this.computeSummary();
    this.latestSummary = {value, until: now + SUMMARY_MILLISECONDS};
    return value;
  }

  /** Workers and their state, for operators. */
  status(): unknown {
    const {registry, scheduler, health} = this.context;
    return [...this.sessions.all()].map(({worker, isReadable}) => ({
      worker: worker.name,
      group: worker.rack,
      isReachable: isReadable,
      isLeaving: this.sessions.isLeaving(worker.name),
      health: health.phase(worker.name).kind,
      share: health.loadShare(worker.name),
      tasks: registry.ofWorker(worker.name).length,
      available: scheduler.availableOn(worker.name),
    }));
  }

  /** Whether this incarnation of the coordinator is connected. */
  private isConnected({name, incarnation}: CoordinatorLabel): boolean {
    const {network} = this.context;
    if (name === network.self) return incarnation === this.options.incarnation;
    if (!network.livePeers().includes(name)) return false;
    const summary = network.latest(name, OWNER_SUMMARY_SECTION);
    return summary?.value.incarnation === incarnation;
  }

  private registerHandlers(): void {
    const {network} = this.context;
    network.publish(OWNER_SUMMARY_SECTION, () => this.summary());
    network.handle(PLACE_TASKS, async (_peer, order) => this.place(order));
    network.handle(CANCEL_TASKS, async (peer, {keys}) => {
      keys.forEach(key => this.cancel(key, peer.name));
      return Right({});
    });
    network.handle(FOLLOW_TASK, async (peer, {task}) =>
      Right({isKnown: this.follow(task, peer)}),
    );
    network.handle(FIND_TASKS, async (_peer, {key}) =>
      Right({
        tasks: this.context.registry.ofKey(key).map(toKnownTask),
        groups: Object.fromEntries(this.fullyReadGroups()),
      }),
    );
  }

  private place(
    order: PlacementOrder,
  ): Either<TypedError, Record<string, never>> {
    const {clock, workNotifier} = this.context;
    if (this.isClosed) {
      return Left(RefusedError.create('the owner shuts down'));
    }
    if (clock.wallNow() > order.notAfter) {
      return Left(RefusedError.create('the order arrived too late'));
    }
    if (!this.sessions.serves(order.service)) {
      return Left(RefusedError.create(`no workers here for ${order.service}`));
    }
    for (const entry of order.tasks) {
      const queued = this.enqueue(order, entry);
      if (queued.isLeft()) {
        this.withdrawOrder(order);
        return queued.map(() => ({}));
      }
    }
    workNotifier.notify();
    return Right({});
  }

  private enqueue(
    order: PlacementOrder,
    entry: PlacementOrder['tasks'][number],
  ): Either<TypedError, void> {
    const {registry, scheduler} = this.context;
    const {index, attempt} = entry;
    const identity = {key: order.key, index, attempt};
    // The order was accepted before, but its answer was lost.
    if (registry.find(identity)) return Right(undefined);
    const queued = scheduler.enqueue(this.createJob(order, entry));
    if (queued.isRight()) registry.add(OwnedTask.fromOrder(identity, order));
    return queued;
  }

  private createJob(
    order: PlacementOrder,
    entry: PlacementOrder['tasks'][number],
    refusedBy: readonly string[] = [],
  ): Job {
    const rule = this.options.ruleFor(order);
    return {
      key: order.key,
      team: order.team,
      service: order.service,
      kind: order.kind,
      demand: order.demand,
      taskCount: 1,
      taskIndexes: [entry.index],
      deadline: order.deadline,
      declaredRunMilliseconds: order.declaredRunMilliseconds,
      attempt: entry.attempt,
      excludedWorkers: new Set([...order.excludedWorkers, ...refusedBy]),
      ...(rule?.policy ? {policy: rule.policy} : {}),
      ...(rule?.queueLimit
        ? {queueBound: {rule: rule.name, limit: rule.queueLimit}}
        : {}),
    };
  }

  private follow(
    identity: TaskIdentity,
    {name, incarnation}: {name: string; incarnation: string},
  ): boolean {
    const task = this.context.registry.find(identity);
    if (!task) return false;
    task.coordinator = CoordinatorLabel.create(name, incarnation);
    if (task.update) this.context.updates.send(name, task.update);
    return true;
  }

  private withdrawOrder(order: PlacementOrder): void {
    const {registry, scheduler} = this.context;
    scheduler.withdraw(order.key);
    for (const {index, attempt} of order.tasks) {
      const task = registry.find({key: order.key, index, attempt});
      if (task?.stage === 'queued') registry.remove(task);
    }
  }

  /**
   * While the coordinator of a task is connected, no other host may cancel the
   * task.
   */
  private cancel(key: string, coordinator: string): void {
    for (const task of this.context.registry.ofKey(key)) {
      const isForeign = task.coordinator.name !== coordinator;
      if (isForeign && this.isConnected(task.coordinator)) continue;
      if (task.stage === 'ended') continue;
      if (task.stage === 'queued') this.withdraw(task, 'cancelled');
      else this.stopper.stop(task, 'cancelled', false);
    }
  }

  /** Removes a task from the queue and notifies its coordinator. */
  private withdraw(task: OwnedTask, reason: string): void {
    this.context.scheduler.withdraw(task.identity.key);
    this.transitions.markNotStarted(task, reason);
  }

  private requeue(task: OwnedTask): void {
    const {registry, scheduler} = this.context;
    const {order} = task;
    const refusedBy = task.worker;
    scheduler.release(task.identity);
    registry.assign(task, '', '');
    task.stage = 'queued';
    const entry = order?.tasks.find(each => each.index === task.identity.index);
    if (!order || !entry) return;
    task.refusedBy.push(refusedBy);
    const job = this.createJob(order, entry, task.refusedBy);
    const queued = scheduler.enqueue(job);
    queued.ifLeft(error =>
      this.transitions.markNotStarted(task, error.message),
    );
    this.context.workNotifier.notify();
  }

  /** Withdraws queued tasks that no remaining worker can run. */
  private withdrawUnservable(): void {
    for (const task of [...this.context.registry.all()]) {
      if (task.stage !== 'queued') continue;
      if (this.sessions.serves(task.spec.service)) continue;
      this.withdraw(task, 'this owner has no more workers for the service');
    }
  }

  private async runScheduling(signal: AbortSignal): Promise<void> {
    const {registry, clock, scheduler, workNotifier} = this.context;
    let refreshAt = 0;
    while (!signal.aborted) {
      const now = clock.monotonicNow();
      if (now >= refreshAt) {
        refreshAt = now + REFRESH_MILLISECONDS;
        this.sessions.refresh();
        registry.evictEnded(now);
      }
      const decisions = scheduler.schedule(DECISION_BATCH);
      decisions.forEach(decision => this.apply(decision));
      // Lets the event loop process input between two batches.
      if (decisions.length > 0) await new Promise(setImmediate);
      else await workNotifier.wait(Math.min(refreshAt, scheduler.nextDueAt()));
    }
  }

  private apply(decision: ScheduleDecision): void {
    const {registry, scheduler} = this.context;
    if (decision.type === 'expire') {
      this.expire(decision);
      return;
    }
    const task = registry.find(decision.task);
    if (decision.type === 'preempt') {
      if (task) this.stopper.stop(task, 'preempted by urgent work', true);
      return;
    }
    if (!task || task.stage !== 'queued') {
      scheduler.release(decision.task);
      return;
    }
    registry.assign(task, decision.worker, decision.group);
    void this.dispatcher.dispatch(task);
  }

  private expire(decision: Extract<ScheduleDecision, {type: 'expire'}>): void {
    const {key, attempt, taskIndexes} = decision;
    for (const index of taskIndexes) {
      const task = this.context.registry.find({key, index, attempt});
      if (task?.stage !== 'queued') continue;
      this.transitions.markNotStarted(task, 'the deadline passed in the queue');
    }
  }

  private computeSummary(): OwnerSummary {
    const {scheduler} = this.context;
    const isUsable = (worker: string) =>
      this.sessions.find(worker)?.isReadable ?? false;
    const expectedWait = Object.fromEntries(
      scheduler
        .summary()
        .classes.map(({kind, expectedWaitMilliseconds}) => [
          kind,
          expectedWaitMilliseconds,
        ]),
    );
    return {
      incarnation: this.options.incarnation,
      isLeaving: this.isClosed,
      offers: summariseOffers(this.sessions, scheduler, isUsable),
      expectedWait,
    };
  }
}

function toKnownTask(task: OwnedTask): KnownTask {
  return {
    task: task.identity,
    coordinator: task.coordinator.name,
    taskCount: task.spec.taskCount,
    isLive: task.isLive(),
    ...(task.update ? {update: task.update} : {}),
  };
}
