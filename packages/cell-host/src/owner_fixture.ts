import type {OwnerRecord} from '@cardamomfield/cell-model';

/** For tests: an owner of the shard `cell-0` on a host of `hostFixture`. */
export function ownerFixture(hostName: string, epoch: number): OwnerRecord {
  return {
    shard: 'cell-0',
    epoch,
    hostName,
    address: `${hostName}:1`,
    incarnation: hostName,
  };
}
