import type {ResourceVector} from '@cardamomfield/types';

/** Properties of a worker that the owner of its group schedules with. */
export interface WorkerDefinition {
  name: string;
  /** The worker group, which is one rack. */
  group: string;
  region: string;
  availabilityZone: string;
  services: readonly string[];
  capacity: ResourceVector;
  state: 'active' | 'leaving';
  /**
   * Usable fraction of the capacity, from 0 to 1; 0 ejects the worker. Values
   * in between let a recovering worker start slowly.
   */
  weight: number;
}
