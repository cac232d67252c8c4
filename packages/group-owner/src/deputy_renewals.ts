import type {WorkerClient, WorkerConnector} from '@cardamomfield/platform';
import type {Worker} from '@cardamomfield/types';
import type {OwnerContext} from './owner_context.js';

/** Period of the check for silent owners. */
const CHECK_MILLISECONDS = 1_000;

interface DeputyRenewalsOptions {
  context: OwnerContext;
  connector: WorkerConnector;
  /** Workers of all groups of the configuration. */
  workersByGroup: () => ReadonlyMap<string, readonly Worker[]>;
}

/**
 * Renews, as the deputy, the leases of running tasks in groups whose owner is
 * silent. No host can claim a group during an outage of the log, and without
 * renewals the leases of the running tasks would expire.
 */
export class DeputyRenewals {
  private readonly clients = new Map<string, WorkerClient>();
  private readonly renewedAt = new Map<string, number>();

  private constructor(private readonly options: DeputyRenewalsOptions) {}

  static create(options: DeputyRenewalsOptions): DeputyRenewals {
    return new DeputyRenewals(options);
  }

  /** Runs until the signal aborts. */
  async run(signal: AbortSignal): Promise<void> {
    const {clock} = this.options.context;
    while (!signal.aborted) {
      for (const [group, workers] of this.options.workersByGroup()) {
        const isHeld = this.isHeld(group);
        for (const worker of workers) this.renewIfDue(worker, isHeld);
      }
      const deadline = clock.monotonicNow() + CHECK_MILLISECONDS;
      await clock.sleepUntil(deadline, signal);
    }
  }

  private renewIfDue(worker: Worker, isHeld: boolean): void {
    const {clock, settings} = this.options.context;
    if (!isHeld) {
      this.clients.delete(worker.name);
      return;
    }
    const renewedAt = this.renewedAt.get(worker.name) ?? -Infinity;
    const now = clock.monotonicNow();
    if (now < renewedAt + settings.renewalMilliseconds) return;
    this.renewedAt.set(worker.name, now);
    void this.renew(worker);
  }

  private isHeld(group: string): boolean {
    const {ownership} = this.options.context;
    return ownership.renewalAuthority(group)?.isHeld() ?? false;
  }

  private async renew(worker: Worker): Promise<void> {
    const {clock, metrics, settings} = this.options.context;
    const client = this.clientOf(worker);
    const read = await client.watch({
      deadline: clock.monotonicNow() + settings.commandMilliseconds,
    });
    // Checked again because the authority may have ended during the read.
    if (!this.isHeld(worker.rack)) return;
    const leaseDeadline = clock.wallNow() + settings.leaseMilliseconds;
    const running = (read.toMaybe().extract()?.tasks ?? []).filter(
      task => task.phase === 'running',
    );
    if (running.length === 0) return;
    const renewals = running.map(({task}) => ({task, leaseDeadline}));
    const deadline = clock.monotonicNow() + settings.commandMilliseconds;
    await client.renewLeases(renewals, deadline);
    metrics.increment('leases.renewed.deputy', renewals.length);
  }

  private clientOf(worker: Worker): WorkerClient {
    const known = this.clients.get(worker.name);
    if (known) return known;
    const client = this.options.connector.connect(worker);
    this.clients.set(worker.name, client);
    return client;
  }
}
