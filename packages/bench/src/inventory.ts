import type {WorkerDefinition} from '@cardamomfield/placement';

const GIGABYTE = 2 ** 30;
const WORKERS_PER_RACK = 8;
const ZONE_COUNT = 15;
const REGION_COUNT = 6;
/** One worker in four has accelerators. */
const ACCELERATOR_PERIOD = 4;

/** Creates workers in racks of eight, half of them of each of two sizes. */
export function inventory(count: number): WorkerDefinition[] {
  return Array.from({length: count}, (_, i) => {
    const rack = Math.floor(i / WORKERS_PER_RACK);
    const zone = rack % ZONE_COUNT;
    const size = rack % 2 === 0 ? 32 : 16;
    return {
      name: `worker-${i}`,
      group: `rack-${rack}`,
      region: `region-${zone % REGION_COUNT}`,
      availabilityZone: `zone-${zone}`,
      services: ['work'],
      capacity: {
        processorMillicores: size * 1_000,
        memoryBytes: size * 4 * GIGABYTE,
        accelerators: i % ACCELERATOR_PERIOD === 0 ? 4 : 0,
        slots: size / 2,
        connections: 64,
      },
      state: 'active',
      weight: 1,
    };
  });
}
