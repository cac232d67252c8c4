import type {ResourceVector} from '@cardamomfield/types';

/** A gang whose tasks are placed on the worker groups of several owners. */
export interface GangJob {
  key: string;
  team: string;
  service: string;
  /** Resources that each task needs. */
  demand: ResourceVector;
  taskCount: number;
  attempt: number;
  /** Wall-clock instant after which no task may start. */
  deadline: number;
  declaredRunMilliseconds: number;
}
