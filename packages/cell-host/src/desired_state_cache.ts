import type {DesiredState, Queue} from '@cardamomfield/cell-model';
import type {Logger} from '@cardamomfield/logger';

/** The newest desired state received; states of older versions are ignored. */
export class DesiredStateCache {
  private newest: DesiredState | undefined;

  private constructor(private readonly logger: Logger) {}

  static create(logger: Logger): DesiredStateCache {
    return new DesiredStateCache(logger);
  }

  get state(): DesiredState | undefined {
    return this.newest;
  }

  get version(): number {
    return this.newest?.version ?? -1;
  }

  update(state: DesiredState): void {
    if (state.version <= this.version) return;
    this.newest = state;
    this.logger.info('desired state updated', {
      version: state.version,
      queues: state.queues.length,
    });
  }

  /** The queue of the host whose path prefix is the longest match. */
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
