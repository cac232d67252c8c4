import type {OwnedTask} from './owned_task.js';
import type {OwnerContext} from './owner_context.js';
import type {TaskTransitions} from './task_transitions.js';
import type {WorkerSession} from './worker_session.js';
import type {WorkerSessions} from './worker_sessions.js';

/** Checks per renewal period, so that the renewals spread over the period. */
const CHECKS_PER_PERIOD = 10;

/**
 * Renews the leases of running tasks with one message per worker. Marks tasks
 * as lost whose lease has certainly expired on an unreachable worker.
 */
export class LeaseRenewer {
  private readonly renewedAt = new Map<string, number>();

  private constructor(
    private readonly context: OwnerContext,
    private readonly sessions: WorkerSessions,
    private readonly transitions: TaskTransitions,
  ) {}

  static create(
    context: OwnerContext,
    sessions: WorkerSessions,
    transitions: TaskTransitions,
  ): LeaseRenewer {
    return new LeaseRenewer(context, sessions, transitions);
  }

  /** Runs until the signal aborts. */
  async run(signal: AbortSignal): Promise<void> {
    const {clock, settings} = this.context;
    while (!signal.aborted) {
      for (const session of this.sessions.all()) this.checkLeases(session);
      const pause = settings.renewalMilliseconds / CHECKS_PER_PERIOD;
      await clock.sleepUntil(clock.monotonicNow() + pause, signal);
    }
  }

  private checkLeases(session: WorkerSession): void {
    const {registry, clock, settings} = this.context;
    const tasks = registry.ofWorker(session.worker.name).filter(mayRun);
    this.endExpired(session, tasks);
    const renewedAt = this.renewedAt.get(session.worker.name) ?? -Infinity;
    const now = clock.monotonicNow();
    if (now < renewedAt + settings.renewalMilliseconds) return;
    const renewable = tasks.filter(task => task.stage === 'running');
    if (renewable.length === 0) return;
    this.renewedAt.set(session.worker.name, now);
    void this.renew(session, renewable);
  }

  private async renew(
    session: WorkerSession,
    tasks: readonly OwnedTask[],
  ): Promise<void> {
    const {clock, metrics, ownership, settings} = this.context;
    if (!ownership.authority(session.worker.rack)?.isHeld()) return;
    const leaseDeadline = clock.wallNow() + settings.leaseMilliseconds;
    const renewals = tasks.map(task => {
      task.leaseDeadline = Math.max(task.leaseDeadline, leaseDeadline);
      return {task: task.identity, leaseDeadline};
    });
    const deadline = clock.monotonicNow() + settings.commandMilliseconds;
    const answer = await session.client.renewLeases(renewals, deadline);
    metrics.increment('leases.renewed', renewals.length);
    const hasEndedTasks = answer.caseOf({
      Left: () => false,
      Right: ended => ended.length > 0,
    });
    // Only the full task list shows how the tasks ended.
    if (hasEndedTasks) session.requestFullRead();
    if (answer.isLeft()) this.renewedAt.delete(session.worker.name);
  }

  private endExpired(
    session: WorkerSession,
    tasks: readonly OwnedTask[],
  ): void {
    if (session.isReadable) return;
    const {clock, settings} = this.context;
    const now = clock.wallNow() - settings.clockSkewMilliseconds;
    for (const task of tasks) {
      if (now <= task.leaseDeadline || task.stage === 'starting') continue;
      this.transitions.markLost(
        task,
        'its lease expired on a worker that is unreachable',
      );
    }
  }
}

function mayRun(task: OwnedTask): boolean {
  return task.mayRun();
}
