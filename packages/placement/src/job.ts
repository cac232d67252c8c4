import type {
  PlacementPolicyName,
  ResourceVector,
  WorkKind,
} from '@cardamomfield/types';

/** Tasks of one request that are to be placed on workers. */
export interface Job {
  key: string;
  team: string;
  service: string;
  kind: WorkKind;
  /** Resources that each task needs. */
  demand: ResourceVector;
  taskCount: number;
  /** Tasks to place; all of `taskCount` when absent. Used for retries. */
  taskIndexes?: readonly number[];
  /** Wall-clock instant after which no task may start. */
  deadline: number;
  declaredRunMilliseconds: number;
  attempt: number;
  /** Workers that must not be chosen, such as those of failed attempts. */
  excludedWorkers?: ReadonlySet<string>;
  /** Checkpoint of an earlier attempt, passed on with the placement. */
  checkpoint?: unknown;
  /** Policy that a rule sets; the default of the kind when absent. */
  policy?: PlacementPolicyName;
  /** The rule that limits the queue of matching jobs, if there is one. */
  queueBound?: {rule: string; limit: number};
}
