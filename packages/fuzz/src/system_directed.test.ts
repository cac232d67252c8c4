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

  // Guards against two coordinators of one request: one that was taken for
  // dead while it was paused stopped, again and again, the task that the
  // other one started.
  it('cancels through a coordinator that lost its request', async () => {
    const system = await SimulatedSystem.create(OPTIONS);
    const {clock, ledger} = system;
    const deadline = clock.wallNow() + 5_000;
    const fields = {key: 'watch', kind: 'service' as const, deadline};
    const request = system.submit(fields, true, 'entry-0');
    await clock.advance(1_000);
    const coordinator = system.hosts.get('entry-0');
    coordinator?.pause();
    await clock.advance(9_000);
    coordinator?.resume();
    await clock.advance(1_000);
    void coordinator?.parts.requests.cancel('watch');
    await system.advanceUntil(() => request.isOver(), 30_000);
    system.close();
    expect(request.answer?.outcome).toBe('ran');
    expect(ledger.startsOf('watch')).toBe(1);
  });
});
