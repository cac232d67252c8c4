import {SeededRandomSource, SystemClock} from '@cardamomfield/clock';
import {describe, expect, it} from 'vitest';
import {OwnerScheduler} from './owner_scheduler.js';

describe('example of embedding', () => {
  // Guards against an example in docs/embedding.md that no longer works. That
  // page contains the code between the two "example" comments verbatim.
  it('places a task on the only worker', () => {
    // example begins
    const scheduler = OwnerScheduler.create({
      clock: SystemClock.create(),
      random: SeededRandomSource.create(1),
    });
    const capacity = {
      processorMillicores: 8_000,
      memoryBytes: 2 ** 34,
      accelerators: 0,
      slots: 8,
      connections: 64,
    };
    scheduler.setWorker({
      name: 'worker-1',
      group: 'rack-1',
      region: 'amhara',
      availabilityZone: 'amhara-1',
      services: ['dispatch'],
      capacity,
      state: 'active',
      weight: 1,
    });
    scheduler.enqueue({
      key: 'reconciliation-1',
      team: 'depot-gondar',
      service: 'dispatch',
      kind: 'batch',
      demand: {...capacity, processorMillicores: 1_000, slots: 1},
      taskCount: 1,
      deadline: Date.now() + 60_000,
      declaredRunMilliseconds: 1_000,
      attempt: 1,
    });
    const decisions = scheduler.schedule(10);
    // example ends
    expect(decisions).toMatchObject([{type: 'place', worker: 'worker-1'}]);
  });
});
