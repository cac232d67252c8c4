import type {ResourceVector} from '@cardamomfield/types';

const MEBIBYTE = 2 ** 20;

/** Returns a demand for the given number of quarters of a worker's cores. */
export function demandOf(quarters: number): ResourceVector {
  return {
    processorMillicores: 2_000 * quarters,
    memoryBytes: 1_024 * MEBIBYTE,
    accelerators: 0,
    slots: 1,
    connections: 1,
  };
}
