import type {
  Adviser,
  DesiredStateSource,
  HostDirectory,
  ShardLog,
  WorkerDirectory,
  WorkerLinks,
} from '@cardamomfield/cell-model';

/** Everything a host needs from outside. */
export interface CellPorts {
  log: ShardLog;
  hosts: HostDirectory;
  workers: WorkerDirectory;
  links: WorkerLinks;
  /** Undefined when the cell has no advice service. */
  adviser: Adviser | undefined;
  desiredState: DesiredStateSource;
  /** How long the log has not answered this host itself; 0 when it does. */
  logSilenceMilliseconds: () => number;
  /** Carries out a platform call for a host that the platform turns away. */
  relay: (request: string, timeoutMilliseconds: number) => Promise<string>;
}
