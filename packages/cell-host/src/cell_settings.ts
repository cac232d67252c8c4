import type {
  OwnerLimits,
  OwnerPolicies,
  OwnerTiming,
} from '@cardamomfield/shard-owner';

/** Settings of one host, from files or flags. */
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
  /** Name of the shard that holds the cell's records. */
  shard: string;
  /** Time between a stop request and the kill. */
  graceMilliseconds: number;
  timing: OwnerTiming;
  limits: OwnerLimits;
  policies: OwnerPolicies;
}
