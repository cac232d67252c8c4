import type {Clock} from '@cardamomfield/clock';
import type {Metrics} from '@cardamomfield/metrics';
import {CANDIDATE_COUNT} from './candidate_count.js';
import {HostRanking} from './host_ranking.js';
import type {Membership} from './membership.js';
import type {PeerClient} from './peer_client.js';
import {PeerMessages} from './peer_messages.js';
import {PeerMethod} from './peer_method.js';

/** Several heartbeats fit into the silence after which an owner is replaced. */
const INTERVAL_MILLISECONDS = 250;

/** A heartbeat is repeated to a host that has not answered for this long. */
const TIMEOUT_MILLISECONDS = 500;

/** What an owner states about itself. */
interface OwnerStatus {
  epoch: number;
  isLogDown: boolean;
  desiredStateVersion: number;
}

interface OwnerHeartbeatOptions {
  membership: Membership;
  peers: PeerClient;
  clock: Clock;
  metrics: Metrics;
  /** Undefined once this host does not own the shard any more. */
  status: () => OwnerStatus | undefined;
}

/**
 * Calls the candidates while this host owns the shard. A busy owner accepts
 * connections and answers pings late, but its own calls arrive: without them it
 * looks as silent as one that is gone, and the next owner is as busy.
 */
export class OwnerHeartbeat {
  private readonly ranking = HostRanking.create();
  /** Addresses of hosts that have not answered the last heartbeat yet. */
  private readonly unanswered = new Set<string>();

  private constructor(private readonly options: OwnerHeartbeatOptions) {}

  static create(options: OwnerHeartbeatOptions): OwnerHeartbeat {
    return new OwnerHeartbeat(options);
  }

  async run(): Promise<void> {
    const {clock, status} = this.options;
    for (;;) {
      const current = status();
      if (!current) return;
      this.send(current);
      await clock.sleepUntil(clock.monotonicNow() + INTERVAL_MILLISECONDS);
    }
  }

  private send(status: OwnerStatus): void {
    const {membership} = this.options;
    const recipients = this.ranking
      .rank(membership.responsivePeers(), status.epoch)
      .slice(0, CANDIDATE_COUNT);
    for (const {address} of recipients) {
      if (!this.unanswered.has(address)) void this.sendTo(address, status);
    }
  }

  private async sendTo(address: string, status: OwnerStatus): Promise<void> {
    const {membership, peers, metrics} = this.options;
    this.unanswered.add(address);
    const result = await peers.call(
      address,
      PeerMethod.heartbeat,
      {...status, address: membership.self.address},
      PeerMessages.empty,
      TIMEOUT_MILLISECONDS,
    );
    this.unanswered.delete(address);
    const outcome = result.isRight() ? 'answered' : 'failed';
    metrics.increment('owner_heartbeats', 1, {outcome});
  }
}
