import type {Clock, RandomSource} from '@cardamomfield/clock';
import type {FollowedStream} from '@cardamomfield/log-follower';
import type {Logger} from '@cardamomfield/logger';
import type {Metrics} from '@cardamomfield/metrics';
import type {PeerNetwork} from '@cardamomfield/peer-protocol';
import type {Timeline} from '@cardamomfield/timeline';
import type {AuthorityTracker} from './authority_tracker.js';
import type {HostLiveness} from './host_liveness.js';
import type {OwnClaims} from './own_claims.js';
import type {OwnershipView} from './ownership_view.js';
import type {OwnershipSettings} from './ownership_settings.js';
import type {OwnershipState} from './ownership_state.js';
import type {RendezvousRanking} from './rendezvous_ranking.js';
import type {Wakeup} from './wakeup.js';

/** Dependencies shared by the ownership components of one process. */
export interface OwnershipContext {
  readonly process: string;
  readonly incarnation: string;
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly logger: Logger;
  readonly metrics: Metrics;
  readonly timeline: Timeline;
  readonly stream: FollowedStream<OwnershipState>;
  readonly network: PeerNetwork;
  readonly settings: OwnershipSettings;
  readonly view: OwnershipView;
  readonly tracker: AuthorityTracker;
  readonly claims: OwnClaims;
  readonly liveness: HostLiveness;
  readonly ranking: RendezvousRanking;
  readonly wakeup: Wakeup;
}
