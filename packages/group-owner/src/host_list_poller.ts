import type {HostList} from '@cardamomfield/platform';
import type {OwnerContext} from './owner_context.js';
import type {TaskStopper} from './task_stopper.js';
import type {WorkerSessions} from './worker_sessions.js';

/**
 * Polls the platform's host list. A worker that the list shows as leaving gets
 * no new work, and its services are moved to other workers.
 */
export class HostListPoller {
  private constructor(
    private readonly context: OwnerContext,
    private readonly hosts: HostList,
    private readonly sessions: WorkerSessions,
    private readonly stopper: TaskStopper,
  ) {}

  static create(
    context: OwnerContext,
    hosts: HostList,
    sessions: WorkerSessions,
    stopper: TaskStopper,
  ): HostListPoller {
    return new HostListPoller(context, hosts, sessions, stopper);
  }

  /** Runs until the signal aborts. */
  async run(signal: AbortSignal): Promise<void> {
    const {clock, settings} = this.context;
    while (!signal.aborted) {
      await this.poll();
      this.moveServices();
      const deadline = clock.monotonicNow() + settings.hostListMilliseconds;
      await clock.sleepUntil(deadline, signal);
    }
  }

  private async poll(): Promise<void> {
    const {clock, settings, metrics} = this.context;
    const deadline = clock.monotonicNow() + settings.commandMilliseconds;
    const listed = await this.hosts.list(deadline);
    listed.caseOf({
      // The last list stays in use: a worker that was leaving is still leaving.
      Left: () => metrics.increment('host-list.failures'),
      Right: entries => {
        const leaving = entries.filter(entry => entry.state === 'leaving');
        this.sessions.setLeaving(new Set(leaving.map(entry => entry.name)));
      },
    });
  }

  private moveServices(): void {
    for (const session of this.sessions.all()) {
      if (!this.sessions.isLeaving(session.worker.name)) continue;
      for (const task of this.context.registry.ofWorker(session.worker.name)) {
        if (task.spec.kind !== 'service') continue;
        this.stopper.stop(task, 'its worker is leaving', true);
      }
    }
  }
}
