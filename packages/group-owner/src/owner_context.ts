import type {Clock} from '@cardamomfield/clock';
import type {Notifier} from '@cardamomfield/clock';
import type {Logger} from '@cardamomfield/logger';
import type {Metrics} from '@cardamomfield/metrics';
import type {PeerNetwork} from '@cardamomfield/peer-protocol';
import type {OwnerScheduler} from '@cardamomfield/placement';
import type {Timeline} from '@cardamomfield/timeline';
import type {WorkerHealth} from '@cardamomfield/worker-health';
import type {GroupAuthorityView} from './group_authority_view.js';
import type {GroupOwnerSettings} from './group_owner_settings.js';
import type {TaskRegistry} from './task_registry.js';
import type {UpdateSender} from './update_sender.js';

/** Dependencies shared by the components of a group owner. */
export interface OwnerContext {
  clock: Clock;
  logger: Logger;
  metrics: Metrics;
  timeline: Timeline;
  network: PeerNetwork;
  scheduler: OwnerScheduler;
  ownership: GroupAuthorityView;
  health: WorkerHealth;
  settings: GroupOwnerSettings;
  registry: TaskRegistry;
  updates: UpdateSender;
  /** Notified when the scheduler may have new decisions to make. */
  workNotifier: Notifier;
}
