import type {Clock} from '@cardamomfield/clock';
import type {GroupOwner} from '@cardamomfield/group-owner';
import type {KeyRegistration} from '@cardamomfield/peer-protocol';
import {KeyPartitions} from '@cardamomfield/requests';

/** Time for which a registrar keeps the key of an orphaned task. */
const ORPHAN_EXPIRY_MILLISECONDS = 24 * 60 * 60 * 1_000;

/**
 * Lists keys of orphaned tasks: live tasks on this owner's workers without a
 * live coordinator. The body hash of their request is unknown and left empty.
 */
export function listOrphans(
  owner: GroupOwner,
  partition: string,
  clock: Clock,
): {registrations: KeyRegistration[]; groups: string[]} {
  const expiresAt = clock.wallNow() + ORPHAN_EXPIRY_MILLISECONDS;
  const registrations = owner
    .findOrphanedTasks()
    .filter(({key}) => KeyPartitions.of(key) === partition)
    .map(({key, coordinator}) => ({
      key,
      coordinator: coordinator.name,
      coordinatorIncarnation: coordinator.incarnation,
      bodyHash: '',
      expiresAt,
    }));
  return {registrations, groups: [...owner.fullyReadGroups().keys()]};
}
