import type {DesiredState, Queue} from '@cardamomfield/cell-model';
import type {Logger} from '@cardamomfield/logger';

/** The newest desired state received; states of older versions are ignored. */
export class DesiredStateCache {
  private newest: DesiredState | undefined;
  /** Queues by host, those with the longest path prefixes first. */
  private readonly queues = new Map<string, Queue[]>();

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
    this.indexQueues(state.queues);
    this.logger.info('desired state updated', {
      version: state.version,
      queues: state.queues.length,
    });
  }

  /** The queue of the host whose path prefix is the longest match. */
  findQueue(host: string, path: string): Queue | undefined {
    return this.queues
      .get(host)
      ?.find(({pathPrefix}) => path.startsWith(pathPrefix));
  }

  private indexQueues(queues: readonly Queue[]): void {
    this.queues.clear();
    for (const queue of queues) {
      const others = this.queues.get(queue.host);
      if (others) others.push(queue);
      else this.queues.set(queue.host, [queue]);
    }
    for (const each of this.queues.values()) {
      each.sort((a, b) => b.pathPrefix.length - a.pathPrefix.length);
    }
  }
}
