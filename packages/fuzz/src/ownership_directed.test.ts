import {describe, expect, it} from 'vitest';
import {OwnershipSimulation} from './ownership/ownership_simulation.js';

const GROUP = 'rack-1';
const HOSTS = ['a', 'b', 'c'];
const SETTLED_MILLISECONDS = 20_000;
const MAJORITY_LOST_MILLISECONDS = 200_000;

async function createSettledSimulation(hosts = HOSTS) {
  const simulation = OwnershipSimulation.create({
    seed: 5,
    hosts,
    groups: [GROUP],
  });
  await simulation.start();
  await simulation.runUntil(SETTLED_MILLISECONDS);
  const owner = simulation.host(simulation.oracle.holders(GROUP)[0]!);
  const {deputy} = owner.manager!.ownerOf(GROUP)!;
  return {simulation, owner, deputy: simulation.host(deputy!)};
}

describe('ownership', () => {
  // Guards against running tasks that lose their leases because no host can
  // claim the groups of a failed owner during a log outage.
  it('lets the deputy renew leases during a log outage', async () => {
    const {deputy, owner, simulation} = await createSettledSimulation();
    const isRenewing = () => deputy.manager!.renewalAuthority(GROUP)!.isHeld();
    expect(isRenewing()).toBe(false);
    const until = SETTLED_MILLISECONDS + 20_000;
    simulation.begin({
      at: SETTLED_MILLISECONDS,
      kind: 'log-outage',
      hosts: HOSTS,
      until,
    });
    owner.kill();
    await simulation.runUntil(SETTLED_MILLISECONDS + 3_000);
    expect(isRenewing()).toBe(true);
    const [other] = HOSTS.filter(
      host => host !== owner.name && host !== deputy.name,
    );
    expect(simulation.host(other!).manager!.renewalAuthority(GROUP)).toBe(
      undefined,
    );
    // Without answers from a majority, the renewal authority ends within the
    // authority period.
    simulation.host(other!).kill();
    await simulation.runUntil(SETTLED_MILLISECONDS + 6_000);
    expect(isRenewing()).toBe(false);
  });

  // Guards against a handover that waits as long as a takeover.
  it('hands a group over without the wait of a takeover', async () => {
    const {owner, simulation} = await createSettledSimulation();
    simulation.begin({
      at: SETTLED_MILLISECONDS,
      kind: 'release',
      host: owner.name,
      group: GROUP,
    });
    await simulation.runUntil(SETTLED_MILLISECONDS + 500);
    const [holder] = simulation.oracle.holders(GROUP);
    expect(holder).toBeDefined();
    expect(holder).not.toBe(owner.name);
  });

  // Guards against a release that lets the next claim skip its wait while the
  // previous owner may still hold authority.
  it('does not release a claim that has not taken effect', async () => {
    const {owner, simulation} = await createSettledSimulation();
    owner.kill();
    const records = simulation.log.records.length;
    while (simulation.log.records.length === records) {
      await simulation.runUntil(simulation.engine.now() + 10);
    }
    await simulation.runUntil(simulation.engine.now() + 100);
    const name = simulation.hosts
      .find(host => host.isRunning())!
      .manager!.ownerOf(GROUP)!.process;
    const {clock, manager} = simulation.host(name);
    const deadline = clock!.monotonicNow() + 1_000;
    expect(await manager!.release([GROUP], {deadline})).toEqual([]);
  });

  // Guards against voters that are still counted although they failed
  // permanently, and against a host that is counted after it left permanently.
  it('removes a voter that left or was silent for a long time', async () => {
    const {simulation} = await createSettledSimulation([
      'a',
      'b',
      'c',
      'd',
      'e',
    ]);
    simulation.host('a').kill();
    simulation.begin({at: SETTLED_MILLISECONDS, kind: 'leave', host: 'b'});
    await simulation.runUntil(SETTLED_MILLISECONDS + 15_000);
    const voters = () => simulation.host('c').manager!.voters();
    expect(voters().members).toEqual(['a', 'c', 'd', 'e']);
    await simulation.runUntil(SETTLED_MILLISECONDS + 75_000);
    expect(voters()).toMatchObject({members: ['c', 'd', 'e'], pending: null});
  });

  // Guards against a cell that stays without owners after operators have
  // replaced the hosts of a lost majority.
  it('claims again after operators reset the voters', async () => {
    const {simulation} = await createSettledSimulation([
      'a',
      'b',
      'c',
      'd',
      'e',
    ]);
    for (const name of ['a', 'b', 'c']) simulation.host(name).kill();
    await simulation.runUntil(MAJORITY_LOST_MILLISECONDS);
    const {clock, manager} = simulation.host('d');
    const deadline = clock!.monotonicNow() + 5_000;
    const holderCount = () => simulation.oracle.holders(GROUP).length;
    void manager!.resetVoters(['d', 'e'], 'operator', deadline);
    await simulation.runUntil(MAJORITY_LOST_MILLISECONDS + 15_000);
    expect(manager!.voters().members).toEqual(['d', 'e']);
    expect(holderCount()).toBe(1);
  });
});
