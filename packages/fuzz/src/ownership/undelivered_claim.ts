import {InternalError} from '@cardamomfield/errors';
import {hideReachablePeers} from './hide_reachable_peers.js';
import type {OwnershipFault} from './ownership_fault.js';
import {OwnershipSimulation} from './ownership_simulation.js';

type SimulationOptions = Parameters<typeof OwnershipSimulation.create>[0];

interface Roles {
  /** Holds authority through the answers of the voter only. */
  owner: string;
  /** Reaches the log but receives nothing from the owner. */
  claimant: string;
  voter: string;
}

interface UndeliveredClaimOptions {
  seed: number;
  overrides: Pick<SimulationOptions, 'settings' | 'wrapStream' | 'wrapNetwork'>;
  /** Faults that begin before the claim. */
  before: (roles: Roles, at: number, until: number) => OwnershipFault[];
  /** Faults that begin once the voter could acknowledge the claim. */
  after: (roles: Roles, at: number, until: number) => OwnershipFault[];
}

interface UndeliveredClaimResult {
  violation: string | undefined;
  /** Role of the host that holds the group at the end. */
  holder: keyof Roles | undefined;
}

const GROUP = 'rack-1';
const HOSTS = ['a', 'b', 'c'];
const SETTLED_MILLISECONDS = 8_000;
const STEP_MILLISECONDS = 5;
/** Long enough for an announcement and its acknowledgement. */
const ANNOUNCEMENT_MILLISECONDS = 20;
const OBSERVATION_MILLISECONDS = 8_000;

/**
 * Runs three voters. Only the claimant reaches the log. It receives nothing
 * from the owner and claims its group, while the owner still gets the answers
 * of the third voter.
 */
export async function runUndeliveredClaim(
  options: UndeliveredClaimOptions,
): Promise<UndeliveredClaimResult> {
  const {seed, overrides} = options;
  const wrapNetwork = overrides.wrapNetwork ?? (network => network);
  const groups = [GROUP];
  const hosts = HOSTS;
  const simulation = OwnershipSimulation.create({
    seed,
    hosts,
    groups,
    ...overrides,
    wrapNetwork: (network, clock) =>
      wrapNetwork(hideReachablePeers(network), clock),
  });
  await simulation.start();
  await simulation.runUntil(SETTLED_MILLISECONDS);
  const roles = assignRoles(simulation);
  const at = SETTLED_MILLISECONDS;
  const until = at + 2 * OBSERVATION_MILLISECONDS;
  const {claimant, owner, voter} = roles;
  simulation.begin({at, kind: 'cut', from: owner, to: claimant, until});
  simulation.begin({at, kind: 'cut', from: claimant, to: owner, until});
  simulation.begin({at, kind: 'log-outage', hosts: [owner, voter], until});
  for (const fault of options.before(roles, at, until)) simulation.begin(fault);
  const records = simulation.log.records.length;
  while (simulation.log.records.length === records) {
    if (simulation.engine.now() > until) {
      throw InternalError.create('the claimant made no claim');
    }
    await simulation.runUntil(simulation.engine.now() + STEP_MILLISECONDS);
  }
  const now = simulation.engine.now() + ANNOUNCEMENT_MILLISECONDS;
  await simulation.runUntil(now);
  for (const fault of options.after(roles, now, until)) simulation.begin(fault);
  await simulation.runUntil(now + OBSERVATION_MILLISECONDS);
  const [holder] = simulation.oracle.holders(GROUP);
  const role = Object.entries(roles).find(([, name]) => name === holder);
  return {
    violation: simulation.oracle.violation,
    holder: role?.[0] as keyof Roles | undefined,
  };
}

function assignRoles(simulation: OwnershipSimulation): Roles {
  const [owner] = simulation.oracle.holders(GROUP);
  const [claimant, voter] = HOSTS.filter(host => host !== owner);
  return {owner: owner!, claimant: claimant!, voter: voter!};
}
