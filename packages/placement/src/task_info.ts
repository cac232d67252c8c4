import type {WorkKind} from '@cardamomfield/types';

/** Properties of a task that its reservation needs. */
export interface TaskInfo {
  team: string;
  service: string;
  kind: WorkKind;
  declaredRunMilliseconds: number;
}
