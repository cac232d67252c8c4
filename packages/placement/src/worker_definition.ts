import type {ResourceVector} from '@cardamomfield/types';

/** A worker as the owner of its group knows it. */
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
   * Part of the capacity that may be used, from 0 to 1; 0 ejects the worker.
   * Values in between let a recovering worker start slowly.
   */
  weight: number;
}
