import type {ResourceVector} from '@cardamomfield/types';

const MEBIBYTE = 2 ** 20;

/** A demand of so many quarters of a worker. */
export function demandOf(quarters: number): ResourceVector {
  return {
    processorMillicores: 2_000 * quarters,
    memoryBytes: 1_024 * MEBIBYTE,
    accelerators: 0,
    slots: 1,
    connections: 1,
  };
}
