import type {WorkKind} from '@cardamomfield/types';

/** What a scheduler must know of a task that it did not place itself. */
export interface TaskInfo {
  team: string;
  service: string;
  kind: WorkKind;
  declaredRunMilliseconds: number;
}
