import {describe, expect, it} from 'vitest';
import {SimulatedSystem} from './simulated_system.js';

const OPTIONS = {seed: 1, entryHosts: 3, racks: 3, workersPerRack: 2};

describe('whole system, directed faults', () => {
  // Guards against two hosts that hear a third but not each other and take
  // each other for dead: they claimed the same groups in turn, as fast as the
  // log took the claims.
  it('does not fight over groups across a cut between two hosts', async () => {
    const system = await SimulatedSystem.create(OPTIONS);
    const before = system.log.records('ownership').length;
    system.hub.cut('entry-0', 'entry-1');
    await system.clock.advance(20_000);
    const appended = system.log.records('ownership').length - before;
    system.close();
    expect(appended).toBeLessThan(10);
  });
});
