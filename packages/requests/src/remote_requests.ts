import type {Clock} from '@cardamomfield/clock';
import {
  type PeerNetwork,
  type RequestView,
  SHOW_REQUEST,
  CANCEL_REQUEST,
} from '@cardamomfield/peer-protocol';

/** Timeout of a call, without the time that the host may hold the answer. */
const CALL_TIMEOUT_MILLISECONDS = 1_500;

/** Limit on cached coordinators; the oldest entries are evicted first. */
const MAXIMUM_CACHED_COORDINATORS = 10_000;

interface RemoteRequestsOptions {
  network: PeerNetwork;
  clock: Clock;
}

interface WaitOptions {
  afterRevision?: number | undefined;
  waitUntil?: number | undefined;
}

interface RemoteView {
  view: RequestView;
  bodyHash: string;
}

/** Requests that other entry hosts coordinate. */
export class RemoteRequests {
  /** Cached coordinators by request key. */
  private readonly coordinators = new Map<string, string>();

  private constructor(private readonly options: RemoteRequestsOptions) {}

  static create(options: RemoteRequestsOptions): RemoteRequests {
    return new RemoteRequests(options);
  }

  /**
   * Returns the request's state at its coordinator, or undefined if no live
   * peer has the request.
   */
  async show(key: string, wait: WaitOptions): Promise<RemoteView | undefined> {
    const cachedCoordinator = this.coordinators.get(key);
    if (cachedCoordinator !== undefined) {
      const answer = await this.fetchView(cachedCoordinator, key, wait);
      if (answer) return answer;
      this.coordinators.delete(key);
    }
    const peers = this.options.network.livePeers();
    const answers = await Promise.all(
      peers.map(peer => this.fetchView(peer, key, {})),
    );
    const found = answers.find(answer => answer !== undefined);
    if (found) this.cacheCoordinator(key, found.view.coordinator);
    return found;
  }

  /** Cancels the request at its coordinator. */
  async cancel(key: string): Promise<RequestView | undefined> {
    const found = await this.show(key, {});
    if (!found) return undefined;
    const {network, clock} = this.options;
    const deadline = clock.monotonicNow() + CALL_TIMEOUT_MILLISECONDS;
    const peer = found.view.coordinator;
    const answer = await network.call(peer, CANCEL_REQUEST, {key}, deadline);
    return answer.toMaybe().extract()?.view ?? found.view;
  }

  private async fetchView(
    peer: string,
    key: string,
    wait: WaitOptions,
  ): Promise<RemoteView | undefined> {
    const {network, clock} = this.options;
    const maximumWait = Math.max(0, (wait.waitUntil ?? 0) - clock.wallNow());
    const deadline =
      clock.monotonicNow() + CALL_TIMEOUT_MILLISECONDS + maximumWait;
    const parameters = {key, ...wait};
    const answer = await network.call(peer, SHOW_REQUEST, parameters, deadline);
    const result = answer.toMaybe().extract();
    if (!result?.view) return undefined;
    return {view: result.view, bodyHash: result.bodyHash};
  }

  private cacheCoordinator(key: string, coordinator: string): void {
    if (this.coordinators.size >= MAXIMUM_CACHED_COORDINATORS) {
      const [oldest] = this.coordinators.keys();
      if (oldest !== undefined) this.coordinators.delete(oldest);
    }
    this.coordinators.set(key, coordinator);
  }
}
