import type {
  Adviser,
  DesiredState,
  ShardLog,
  WorkerLink,
} from '@cardamomfield/cell-model';
import type {Logger} from '@cardamomfield/logger';
import type {FormerOwners, OwnerLimits} from '@cardamomfield/shard-owner';

/**
 * Replaces parts of a simulated host, to observe its calls or to inject a
 * defect that the simulation must detect.
 */
export interface HostOverrides {
  wrapLog?: (log: ShardLog) => ShardLog;
  /** Longest lease of the workers, if it differs from the one owners assume. */
  longestLeaseMilliseconds?: number;
  /**
   * Longest time that a stop takes. The workers need up to this time to kill a
   * run that is stopped or has no lease any more; without it, runs end at once.
   */
  stopMilliseconds?: number;
  /** Longest time by which a worker notices the end of its lease late. */
  timerLatenessMilliseconds?: number;
  /** Whether calls may leave after their time limit, as they must not. */
  sendsOverdueCalls?: boolean;
  /** Receives what owners log; nothing does by default. */
  logger?: Logger;
  /** Limits of the owner that differ from those of the store. */
  limits?: Partial<OwnerLimits>;
  /** Whether owners refuse submissions under load; by default they do not. */
  refusesUnderLoad?: boolean;
  /** Factor on run times in another rack; not known by default. */
  farPlacePenalty?: number;
  wrapFormerOwners?: (formerOwners: FormerOwners) => FormerOwners;
  wrapLink?: (link: WorkerLink) => WorkerLink;
  /** Client of the advice service; without one, no host queries advice. */
  adviser?: Adviser;
  /** The desired state that a host follows; none by default. */
  desiredState?: (hostName: string) => DesiredState | undefined;
}
