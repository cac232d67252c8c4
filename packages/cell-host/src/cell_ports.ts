import type {
  Adviser,
  DesiredStateSource,
  HostDirectory,
  ShardLog,
  WorkerDirectory,
  WorkerLinks,
} from '@cardamomfield/cell-model';

/** External services that a host depends on. */
export interface CellPorts {
  log: ShardLog;
  hosts: HostDirectory;
  workers: WorkerDirectory;
  links: WorkerLinks;
  /** Undefined when the cell has no advice service. */
  adviser: Adviser | undefined;
  desiredState: DesiredStateSource;
  /** How long direct calls to the log have failed; 0 while they succeed. */
  directLogFailureMilliseconds: () => number;
  /** Sends a platform call for a host that the platform does not serve. */
  relay: (request: string, timeoutMilliseconds: number) => Promise<string>;
}
