import {describe, expect, it} from 'vitest';
import {SimulatedSystem} from './simulated_system.js';
import {SystemRun} from './system_run.js';

const OPTIONS = {seed: 1, entryHosts: 3, racks: 3, workersPerRack: 2};

describe('whole system, directed faults', () => {
  // Guards against an endless exchange of claims. Two hosts that received
  // heartbeats from a third but not from each other considered each other dead
  // and claimed the same groups in turn, as fast as the log accepted claims.
  it('does not claim groups in turn across a cut between hosts', async () => {
    const system = await SimulatedSystem.create(OPTIONS);
    const before = system.log.records('ownership').length;
    system.hub.cut('entry-0', 'entry-1');
    await system.clock.advance(20_000);
    const appended = system.log.records('ownership').length - before;
    system.close();
    expect(appended).toBeLessThan(10);
  });

  // Guards against two coordinators of one request. A coordinator that was
  // considered dead during a pause repeatedly stopped the task that the other
  // one had started.
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
    await system.advanceUntil(() => request.isFinished(), 30_000);
    system.close();
    expect(request.answer?.outcome).toBe('ran');
    expect(ledger.startsOf('watch')).toBe(1);
  });

  // Guards against an over-committed worker (guarantee G1). A start reached a
  // restarted worker after the task list that showed the new incarnation. It
  // was considered lost with the old incarnation, and its capacity was given to
  // other tasks.
  it('keeps the reservation of a start in doubt across a restart', async () => {
    const run = await SystemRun.create(127);
    const submission = {
      type: 'submit' as const,
      kind: 'urgent' as const,
      isIdempotent: true,
      deadlineMilliseconds: 500 as const,
    };
    await run.run([
      {type: 'advance', milliseconds: 1_500},
      {
        ...submission,
        host: 2,
        keyNumber: 0,
        taskCount: 3,
        size: 4,
        runMilliseconds: 4_000,
      },
      {type: 'advance', milliseconds: 1_500},
      {
        ...submission,
        host: 4,
        keyNumber: undefined,
        taskCount: 1,
        size: 3,
        runMilliseconds: 10,
      },
      {
        ...submission,
        host: 4,
        kind: 'service',
        keyNumber: 0,
        taskCount: 2,
        size: 2,
        runMilliseconds: 10,
      },
      {type: 'lose-start-answers', worker: 5, count: 2},
      {type: 'hold-commands', host: 3, worker: 2, isOn: false},
      {type: 'restart-worker', worker: 5},
      {type: 'advance', milliseconds: 1},
    ]);
    expect(run.outcomes()['none']).toBeUndefined();
  });

  // Guards against a registrar that takes a key from its live coordinator.
  // While the coordinator was paused, only the task on its worker contained the
  // key, without the incarnation that coordinates it.
  it('leaves a key with its coordinator after a pause', async () => {
    const system = await SimulatedSystem.create(OPTIONS);
    const {clock, ledger} = system;
    const kind = 'service' as const;
    for (const name of system.hostNames) {
      const key = `watch-of-${name}`;
      const deadline = clock.wallNow() + 5_000;
      const request = system.submit({kind, key, deadline}, true, name);
      await clock.advance(1_000);
      system.hosts.get(name)?.pause();
      await clock.advance(9_000);
      system.hosts.get(name)?.resume();
      await clock.advance(20_000);
      const [other] = system.liveHosts().filter(host => host.name !== name);
      void other?.parts.requests.cancel(key);
      await system.advanceUntil(() => request.isFinished(), 30_000);
      expect(request.answer?.outcome).toBe('ran');
      expect(ledger.startsOf(key)).toBe(1);
    }
    system.close();
  });
});
