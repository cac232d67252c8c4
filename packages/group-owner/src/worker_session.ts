import type {Clock} from '@cardamomfield/clock';
import type {WorkerClient, WorkerSnapshot} from '@cardamomfield/platform';
import type {Rack, Worker} from '@cardamomfield/types';
import type {GroupOwnerSettings} from './group_owner_settings.js';

interface WorkerSessionOptions {
  worker: Worker;
  client: WorkerClient;
  clock: Clock;
  settings: GroupOwnerSettings;
  /**
   * Called with each task list. `isFull` means that it contains all tasks of
   * the worker; `sentAt` is the monotonic instant at which the read was sent.
   */
  onSnapshot: (
    session: WorkerSession,
    snapshot: WorkerSnapshot,
    read: {isFull: boolean; sentAt: number},
  ) => void;
  /** Called when the worker becomes reachable or unreachable. */
  onReachability: (session: WorkerSession) => void;
}

/** The properties of a worker that are passed to the scheduler. */
interface WorkerDescription {
  worker: Worker;
  rack: Rack;
  state: 'active' | 'leaving';
  weight: number;
}

/** The owner's connection to one worker; watches the worker's task list. */
export class WorkerSession {
  /** Whether the latest read succeeded; false before the first read. */
  isReadable = false;
  incarnation: string | undefined;

  private description: WorkerDescription | undefined;
  private sequence = 0;
  private isFullReadRequested = true;
  private readonly controller = new AbortController();
  private watchController = new AbortController();

  private constructor(private readonly options: WorkerSessionOptions) {}

  static create(options: WorkerSessionOptions): WorkerSession {
    return new WorkerSession(options);
  }

  get worker(): Worker {
    return this.options.worker;
  }

  get client(): WorkerClient {
    return this.options.client;
  }

  /** Stores the description; returns whether it equals the last one. */
  matchesLastDescription(description: WorkerDescription): boolean {
    const known = this.description;
    this.description = description;
    return (
      known?.worker === description.worker &&
      known.rack === description.rack &&
      known.state === description.state &&
      known.weight === description.weight
    );
  }

  /** Ends the current watch and makes the next read list all tasks. */
  requestFullRead(): void {
    this.isFullReadRequested = true;
    this.watchController.abort();
  }

  close(): void {
    this.controller.abort();
    this.watchController.abort();
  }

  isClosed(): boolean {
    return this.controller.signal.aborted;
  }

  /** Watches the worker until the session is closed. */
  async run(): Promise<void> {
    const {clock, settings} = this.options;
    while (!this.isClosed()) {
      const isRead = await this.read();
      if (isRead || this.isClosed()) continue;
      this.setReadable(false);
      const deadline = clock.monotonicNow() + settings.watchRetryMilliseconds;
      await clock.sleepUntil(deadline, this.controller.signal);
    }
  }

  private async read(): Promise<boolean> {
    const {clock, client, settings} = this.options;
    const isFull = this.isFullReadRequested || !this.isReadable;
    this.isFullReadRequested = false;
    this.watchController = new AbortController();
    const sentAt = clock.monotonicNow();
    const waitUntil = isFull ? sentAt : sentAt + settings.watchMilliseconds;
    const after = {
      incarnation: this.incarnation ?? '',
      sequence: this.sequence,
    };
    const answer = await Promise.race([
      client.watch({
        ...(isFull ? {} : {after}),
        waitUntil,
        deadline: waitUntil + settings.commandMilliseconds,
      }),
      aborted(this.watchController.signal),
    ]);
    if (this.isClosed()) return false;
    // A full read that was aborted or failed is requested again.
    if (!answer || answer.isLeft()) this.isFullReadRequested ||= isFull;
    if (!answer) return true;
    return answer.caseOf({
      Left: () => false,
      Right: snapshot => {
        this.applySnapshot(snapshot, isFull, sentAt);
        return true;
      },
    });
  }

  private applySnapshot(
    snapshot: WorkerSnapshot,
    wasFull: boolean,
    sentAt: number,
  ): void {
    const isFull = wasFull || snapshot.incarnation !== this.incarnation;
    this.incarnation = snapshot.incarnation;
    this.sequence = snapshot.sequence;
    this.options.onSnapshot(this, snapshot, {isFull, sentAt});
    this.setReadable(true);
  }

  private setReadable(isReadable: boolean): void {
    if (this.isReadable === isReadable) return;
    this.isReadable = isReadable;
    this.options.onReachability(this);
  }
}

function aborted(signal: AbortSignal): Promise<undefined> {
  return new Promise(resolve =>
    signal.addEventListener('abort', () => resolve(undefined), {once: true}),
  );
}
