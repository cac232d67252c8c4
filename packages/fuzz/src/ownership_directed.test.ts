import {describe, expect, it} from 'vitest';
import {OwnershipSimulation} from './ownership/ownership_simulation.js';

const GROUP = 'rack-1';
const HOSTS = ['a', 'b', 'c'];
const SETTLED = 20_000;
const LONG = 200_000;

async function settled(hosts = HOSTS) {
  const simulation = OwnershipSimulation.create({
    seed: 5,
    hosts,
    groups: [GROUP],
  });
  await simulation.start();
  await simulation.runUntil(SETTLED);
  const owner = simulation.host(simulation.oracle.holders(GROUP)[0]!);
  const {deputy} = owner.manager!.ownerOf(GROUP)!;
  return {simulation, owner, deputy: simulation.host(deputy!)};
}

describe('ownership', () => {
  // Guards against running tasks that lose their leases because nobody can
  // claim the groups of a dead owner while the log is out.
  it('lets the deputy renew leases during a log outage', async () => {
    const {deputy, owner, simulation} = await settled();
    const isRenewing = () => deputy.manager!.renewalAuthority(GROUP)!.isHeld();
    expect(isRenewing()).toBe(false);
    const until = SETTLED + 20_000;
    simulation.begin({at: SETTLED, kind: 'log-outage', hosts: HOSTS, until});
    owner.kill();
    await simulation.runUntil(SETTLED + 3_000);
    expect(isRenewing()).toBe(true);
    const [other] = HOSTS.filter(
      host => host !== owner.name && host !== deputy.name,
    );
    expect(simulation.host(other!).manager!.renewalAuthority(GROUP)).toBe(
      undefined,
    );
    // Without the answers of a majority the right ends within T.
    simulation.host(other!).kill();
    await simulation.runUntil(SETTLED + 6_000);
    expect(isRenewing()).toBe(false);
  });

  // Guards against a handover that waits as long as a takeover.
  it('hands a group over without the wait of a takeover', async () => {
    const {owner, simulation} = await settled();
    simulation.begin({
      at: SETTLED,
      kind: 'release',
      host: owner.name,
      group: GROUP,
    });
    await simulation.runUntil(SETTLED + 500);
    const [holder] = simulation.oracle.holders(GROUP);
    expect(holder).toBeDefined();
    expect(holder).not.toBe(owner.name);
  });

  // Guards against a release by which the next claim skips its wait while the
  // owner before may still hold authority.
  it('does not release a claim that has not taken effect', async () => {
    const {owner, simulation} = await settled();
    owner.kill();
    const records = simulation.log.records.length;
    while (simulation.log.records.length === records) {
      await simulation.runUntil(simulation.world.now() + 10);
    }
    await simulation.runUntil(simulation.world.now() + 100);
    const name = simulation.hosts
      .find(host => host.isRunning())!
      .manager!.ownerOf(GROUP)!.process;
    const {clock, manager} = simulation.host(name);
    const deadline = clock!.monotonicNow() + 1_000;
    expect(await manager!.release([GROUP], {deadline})).toEqual([]);
  });

  // Guards against voters that are counted for ever although they are gone,
  // and against a host that leaves for good and is counted.
  it('removes a voter that left or was silent for long', async () => {
    const {simulation} = await settled(['a', 'b', 'c', 'd', 'e']);
    simulation.host('a').kill();
    simulation.begin({at: SETTLED, kind: 'leave', host: 'b'});
    await simulation.runUntil(SETTLED + 15_000);
    const voters = () => simulation.host('c').manager!.voters();
    expect(voters().members).toEqual(['a', 'c', 'd', 'e']);
    await simulation.runUntil(SETTLED + 75_000);
    expect(voters()).toMatchObject({members: ['c', 'd', 'e'], pending: null});
  });

  // Guards against a cell that stays without owners when operators have
  // replaced the hosts of a lost majority.
  it('claims again after operators reset the voters', async () => {
    const {simulation} = await settled(['a', 'b', 'c', 'd', 'e']);
    for (const name of ['a', 'b', 'c']) simulation.host(name).kill();
    await simulation.runUntil(LONG);
    const {clock, manager} = simulation.host('d');
    const deadline = clock!.monotonicNow() + 5_000;
    const held = () => simulation.oracle.holders(GROUP).length;
    void manager!.resetVoters(['d', 'e'], 'operator', deadline);
    await simulation.runUntil(LONG + 15_000);
    expect(manager!.voters().members).toEqual(['d', 'e']);
    expect(held()).toBe(1);
  });
});
