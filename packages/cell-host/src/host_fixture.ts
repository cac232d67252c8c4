import type {HostRecord} from '@cardamomfield/cell-model';

/** A host for tests, with the given processors. */
export function hostFixture(name: string, milliCores: number): HostRecord {
  return {
    name,
    address: `${name}:1`,
    region: 'region',
    availabilityZone: 'zone',
    incarnation: name,
    milliCores,
  };
}
