import {InternalError} from '@cardamomfield/errors';
import {hidingHeardHosts} from './hiding_heard_hosts.js';
import type {OwnershipFault} from './ownership_fault.js';
import {OwnershipSimulation} from './ownership_simulation.js';

type SimulationOptions = Parameters<typeof OwnershipSimulation.create>[0];

interface Roles {
  /** Holds authority by the answers of the voter only. */
  owner: string;
  /** Reaches the log and does not hear the owner. */
  claimant: string;
  voter: string;
}

interface UnheardClaimOptions {
  seed: number;
  weakening: Pick<SimulationOptions, 'settings' | 'wrapStream' | 'wrapNetwork'>;
  /** Faults from before the claim. */
  before: (roles: Roles, at: number, until: number) => OwnershipFault[];
  /** Faults right after the voter could acknowledge the claim. */
  after: (roles: Roles, at: number, until: number) => OwnershipFault[];
}

interface UnheardClaimResult {
  violation: string | undefined;
  /** Who held the group at the end. */
  holder: keyof Roles | undefined;
}

const GROUP = 'rack-1';
const HOSTS = ['a', 'b', 'c'];
const SETTLED_MILLISECONDS = 8_000;
const STEP_MILLISECONDS = 5;
/** Enough for an announcement and its acknowledgement. */
const ANNOUNCED_MILLISECONDS = 20;
const REST_MILLISECONDS = 8_000;

/**
 * Three voters, of which one alone reaches the log and claims the group of an
 * owner that it does not hear and that still has the answers of the third.
 */
export async function runUnheardClaim(
  options: UnheardClaimOptions,
): Promise<UnheardClaimResult> {
  const {seed, weakening} = options;
  const wrapNetwork = weakening.wrapNetwork ?? (network => network);
  const groups = [GROUP];
  const hosts = HOSTS;
  const simulation = OwnershipSimulation.create({
    seed,
    hosts,
    groups,
    ...weakening,
    wrapNetwork: (network, clock) =>
      wrapNetwork(hidingHeardHosts(network), clock),
  });
  await simulation.start();
  await simulation.runUntil(SETTLED_MILLISECONDS);
  const roles = rolesOf(simulation);
  const at = SETTLED_MILLISECONDS;
  const until = at + 2 * REST_MILLISECONDS;
  const {claimant, owner, voter} = roles;
  simulation.begin({at, kind: 'cut', from: owner, to: claimant, until});
  simulation.begin({at, kind: 'cut', from: claimant, to: owner, until});
  simulation.begin({at, kind: 'log-outage', hosts: [owner, voter], until});
  for (const fault of options.before(roles, at, until)) simulation.begin(fault);
  const records = simulation.log.records.length;
  while (simulation.log.records.length === records) {
    if (simulation.world.now() > until) {
      throw InternalError.create('the claimant made no claim');
    }
    await simulation.runUntil(simulation.world.now() + STEP_MILLISECONDS);
  }
  const now = simulation.world.now() + ANNOUNCED_MILLISECONDS;
  await simulation.runUntil(now);
  for (const fault of options.after(roles, now, until)) simulation.begin(fault);
  await simulation.runUntil(now + REST_MILLISECONDS);
  const [holder] = simulation.oracle.holders(GROUP);
  const role = Object.entries(roles).find(([, name]) => name === holder);
  return {
    violation: simulation.oracle.violation,
    holder: role?.[0] as keyof Roles | undefined,
  };
}

function rolesOf(simulation: OwnershipSimulation): Roles {
  const [owner] = simulation.oracle.holders(GROUP);
  const [claimant, voter] = HOSTS.filter(host => host !== owner);
  return {owner: owner!, claimant: claimant!, voter: voter!};
}
