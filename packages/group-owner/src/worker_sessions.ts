import type {WorkerConnector, WorkerSnapshot} from '@cardamomfield/platform';
import type {ConfigurationState, Rack, Worker} from '@cardamomfield/types';
import {groupWorkersByRack} from './group_workers_by_rack.js';
import type {OwnerContext} from './owner_context.js';
import {WorkerSession} from './worker_session.js';

interface WorkerSessionsOptions {
  context: OwnerContext;
  connector: WorkerConnector;
  onSnapshot: (
    session: WorkerSession,
    snapshot: WorkerSnapshot,
    read: {isFull: boolean; sentAt: number},
  ) => void;
}

/** The latest full read of a worker. */
interface FullRead {
  /** Epoch of the worker's group at the time of the read. */
  epoch: number;
}

/** The sessions with the workers of all groups that this process owns. */
export class WorkerSessions {
  private readonly sessions = new Map<string, WorkerSession>();
  private readonly fullReads = new Map<string, FullRead>();
  private leaving: ReadonlySet<string> = new Set();
  private configuration: ConfigurationState | undefined;
  private workersByRack: ReadonlyMap<string, readonly Worker[]> = new Map();
  private readonly groups = new Map<string, number>();

  private constructor(private readonly options: WorkerSessionsOptions) {}

  static create(options: WorkerSessionsOptions): WorkerSessions {
    return new WorkerSessions(options);
  }

  find(worker: string): WorkerSession | undefined {
    return this.sessions.get(worker);
  }

  all(): Iterable<WorkerSession> {
    return this.sessions.values();
  }

  /** Whether any of these workers offers the service. */
  serves(service: string): boolean {
    for (const {worker} of this.sessions.values()) {
      if (worker.services.includes(service)) return true;
    }
    return false;
  }

  /** Groups whose workers were all read fully under the current epoch. */
  fullyReadGroups(): ReadonlyMap<string, number> {
    const read = new Map<string, number>();
    for (const [group, epoch] of this.groups) {
      const workers = this.workersOf(group);
      const isRead = workers.every(
        worker => this.fullReads.get(worker.name)?.epoch === epoch,
      );
      if (isRead) read.set(group, epoch);
    }
    return read;
  }

  /** Sets the inventory; starts and ends sessions accordingly. */
  setConfiguration(configuration: ConfigurationState): void {
    this.configuration = configuration;
    this.workersByRack = groupWorkersByRack(configuration);
    this.synchronise();
  }

  /** Sets the workers that the platform reports as leaving. */
  setLeaving(leaving: ReadonlySet<string>): void {
    this.leaving = leaving;
    this.refresh();
  }

  /** Whether the inventory or the platform reports the worker as leaving. */
  isLeaving(name: string): boolean {
    const state = this.configuration?.workers[name]?.state;
    return state === 'leaving' || this.leaving.has(name);
  }

  /** Starts sessions with the workers of a group. */
  addGroup(group: string, epoch: number): void {
    this.groups.set(group, epoch);
    for (const worker of this.workersOf(group)) {
      this.sessions.get(worker.name)?.requestFullRead();
    }
    this.synchronise();
  }

  /** Ends the sessions of a group's workers. */
  removeGroup(group: string): void {
    this.groups.delete(group);
    this.synchronise();
  }

  /** Records a full read, which permits use of the worker in this epoch. */
  recordFullRead(session: WorkerSession): void {
    const epoch = this.groups.get(session.worker.rack);
    if (epoch === undefined) return;
    this.fullReads.set(session.worker.name, {epoch});
    this.refreshWorker(session);
  }

  /** Updates the state and weight of all workers in the scheduler. */
  refresh(): void {
    for (const session of this.sessions.values()) this.refreshWorker(session);
    this.options.context.workNotifier.notify();
  }

  /** Ends all sessions. */
  close(): void {
    for (const session of this.sessions.values()) session.close();
    this.sessions.clear();
  }

  rackOf(worker: Worker): Rack | undefined {
    return this.configuration?.racks[worker.rack];
  }

  private workersOf(group: string): readonly Worker[] {
    return this.workersByRack.get(group) ?? [];
  }

  private synchronise(): void {
    for (const [name, session] of this.sessions) {
      const worker = this.configuration?.workers[name];
      const isServed =
        worker !== undefined &&
        worker.address === session.worker.address &&
        worker.rack === session.worker.rack &&
        this.groups.has(worker.rack);
      if (!isServed) this.endSession(name, session);
    }
    for (const group of this.groups.keys()) {
      for (const worker of this.workersOf(group)) {
        if (!this.sessions.has(worker.name)) this.startSession(worker);
      }
    }
    this.options.context.health.setWorkers(this.sessions.keys());
    this.refresh();
  }

  private startSession(worker: Worker): void {
    const {context, connector, onSnapshot} = this.options;
    const session = WorkerSession.create({
      worker,
      client: connector.connect(worker),
      clock: context.clock,
      settings: context.settings,
      onSnapshot,
      onReachability: each => {
        context.timeline.record(
          each.isReadable ? 'worker.reachable' : 'worker.unreachable',
          {worker: each.worker.name},
        );
        this.refreshWorker(each);
        context.workNotifier.notify();
      },
    });
    this.sessions.set(worker.name, session);
    void session.run();
  }

  private endSession(name: string, session: WorkerSession): void {
    session.close();
    this.sessions.delete(name);
    this.fullReads.delete(name);
    this.options.context.scheduler.removeWorker(name);
  }

  private refreshWorker(session: WorkerSession): void {
    if (session.isClosed()) return;
    const {scheduler} = this.options.context;
    // The inventory may have changed the worker since the session began.
    const worker =
      this.configuration?.workers[session.worker.name] ?? session.worker;
    const rack = this.rackOf(worker);
    if (!rack) return;
    const state = this.isLeaving(worker.name) ? 'leaving' : 'active';
    const weight = this.weightOf(worker, session);
    // Most refreshes find no change, and an owner may have hundreds of workers.
    if (session.matchesLastDescription({worker, rack, state, weight})) return;
    scheduler.setWorker({
      name: worker.name,
      group: worker.rack,
      region: rack.region,
      availabilityZone: rack.availabilityZone,
      services: worker.services,
      capacity: worker.capacity,
      state,
      weight,
    });
  }

  private weightOf(worker: Worker, session: WorkerSession): number {
    const {ownership, health} = this.options.context;
    const authority = ownership.authority(worker.rack);
    const fullRead = this.fullReads.get(worker.name);
    const isUsable =
      session.isReadable &&
      authority !== undefined &&
      authority.isHeld() &&
      fullRead?.epoch === authority.epoch;
    return isUsable ? health.loadShare(worker.name) : 0;
  }
}
