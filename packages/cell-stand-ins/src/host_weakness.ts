import type {ShardLog, WorkerLink} from '@cardamomfield/cell-model';

/** Changes to a correct host, to show that the runs notice its faults. */
export interface HostWeakness {
  wrapLog?: (log: ShardLog) => ShardLog;
  /** Longest lease of the workers, if not the one that owners are told. */
  longestLeaseMilliseconds?: number;
  wrapLink?: (link: WorkerLink) => WorkerLink;
}
