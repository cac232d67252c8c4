import type {ConfigurationState, ResourceVector} from '@cardamomfield/types';
import {describe, expect, it} from 'vitest';
import {findNeverRunnable} from './find_never_runnable.js';

function resources(processors: number, memory: number, accelerators = 0) {
  return {
    processorMillicores: processors,
    memoryBytes: memory,
    accelerators,
    slots: 8,
    connections: 8,
  };
}

function configuration(
  capacities: ResourceVector[],
  leaving: number[] = [],
): ConfigurationState {
  const workers = Object.fromEntries(
    capacities.map((capacity, i) => [
      `w${i}`,
      {
        name: `w${i}`,
        address: 'http://127.0.0.1:1',
        rack: 'g',
        services: ['s'],
        capacity,
        state: leaving.includes(i) ? ('leaving' as const) : ('active' as const),
      },
    ]),
  );
  return {racks: {}, workers, services: {}, teams: {}, rules: {}};
}

const job = (demand: ResourceVector, taskCount = 1) => ({
  service: 's',
  kind: 'gang' as const,
  demand,
  taskCount,
});

describe('findNeverRunnable', () => {
  // Guards against jobs that wait in the queue forever, and against refusals
  // that do not name the resource.
  it('names the resource that no worker has enough of', () => {
    const inventory = configuration([resources(10, 4), resources(4, 10)]);
    const found = findNeverRunnable(job(resources(1, 11)), inventory);
    expect(found).toMatchObject({resource: 'memoryBytes', largestOffer: 10});
  });

  // Guards against checking each resource separately, which accepts a job that
  // would need the combined capacities of two workers.
  it('refuses a task that no single worker has all resources for', () => {
    const inventory = configuration([resources(10, 4), resources(4, 10)]);
    const found = findNeverRunnable(job(resources(10, 5)), inventory);
    expect(found).toMatchObject({
      reason: 'task-too-large',
      resource: 'memoryBytes',
      largestOffer: 4,
    });
  });

  // Guards against accepting a gang because each of its tasks fits alone.
  it('counts the tasks of a gang that fit on the whole inventory', () => {
    const inventory = configuration([resources(80, 8), resources(80, 4)]);
    const demand = {...resources(10, 2), slots: 1, connections: 1};
    expect(findNeverRunnable(job(demand, 6), inventory)).toBeUndefined();
    expect(findNeverRunnable(job(demand, 7), inventory)).toMatchObject({
      reason: 'gang-too-large',
      resource: 'memoryBytes',
      largestOffer: 6,
    });
  });

  // Guards against accepting work for workers that are about to be removed.
  it('does not count leaving workers', () => {
    const inventory = configuration([resources(10, 10)], [0]);
    const found = findNeverRunnable(job(resources(1, 1)), inventory);
    expect(found).toMatchObject({reason: 'no-worker'});
  });
});
