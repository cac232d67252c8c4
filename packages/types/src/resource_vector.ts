import {z} from 'zod';

const amount = z.int().nonnegative();

/**
 * Amounts of every resource in integer units, so that sums are exact:
 * thousandths of a processor, bytes, whole accelerators, task slots and
 * connections.
 */
export const ResourceVector = z.strictObject({
  processorMillicores: amount,
  memoryBytes: amount,
  accelerators: amount,
  slots: amount,
  connections: amount,
});
export type ResourceVector = z.infer<typeof ResourceVector>;
