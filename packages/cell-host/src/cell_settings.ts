import type {OwnerTiming} from '@cardamomfield/shard-owner';

/** Settings of one host, whatever file or flags they come from. */
export interface CellSettings {
  hostName: string;
  region: string;
  availabilityZone: string;
  /** Processors that the host may use, in thousandths of a core. */
  milliCores: number;
  /** Address and port for calls between hosts and for metrics. */
  peerAddress: string;
  /** Addresses of some other hosts; they may be stale. */
  seedAddresses: string[];
  /** Name of the shard this cell is kept in. */
  shard: string;
  /** Time between a stop request and the kill. */
  graceMilliseconds: number;
  timing: OwnerTiming;
}
