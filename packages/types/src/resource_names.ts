import type {ResourceVector} from './resource_vector.js';

/** Every dimension of a resource vector, in a fixed order. */
export const RESOURCE_NAMES = [
  'processorMillicores',
  'memoryBytes',
  'accelerators',
  'slots',
  'connections',
] as const satisfies ReadonlyArray<keyof ResourceVector>;
