import type {DesiredState, Queue} from '@cardamomfield/cell-model';
import type {Logger} from '@cardamomfield/logger';

/** The newest desired state of this process; it never goes back. */
export class DesiredStateKeeper {
  private newest: DesiredState | undefined;

  private constructor(private readonly logger: Logger) {}

  static create(logger: Logger): DesiredStateKeeper {
    return new DesiredStateKeeper(logger);
  }

  get state(): DesiredState | undefined {
    return this.newest;
  }

  get version(): number {
    return this.newest?.version ?? -1;
  }

  take(state: DesiredState): void {
    if (state.version <= this.version) return;
    this.newest = state;
    this.logger.info('desired state in force', {
      version: state.version,
      queues: state.queues.length,
    });
  }

  /** The queue with the longest prefix that a path begins with. */
  findQueue(host: string, path: string): Queue | undefined {
    let best: Queue | undefined;
    for (const queue of this.newest?.queues ?? []) {
      if (queue.host !== host || !path.startsWith(queue.pathPrefix)) continue;
      if (!best || queue.pathPrefix.length > best.pathPrefix.length) {
        best = queue;
      }
    }
    return best;
  }
}
