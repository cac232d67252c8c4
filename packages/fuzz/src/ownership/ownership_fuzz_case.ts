import {SeededRandomSource} from '@cardamomfield/clock';
import type {OwnershipFault} from './ownership_fault.js';
import {generateOwnershipFaults} from './generate_ownership_faults.js';
import {OwnershipSimulation} from './ownership_simulation.js';

type SimulationOptions = Parameters<typeof OwnershipSimulation.create>[0];

/** Settings and wrappers of a case; a wrapper can inject a defect. */
type SimulationOverrides = Pick<
  SimulationOptions,
  'settings' | 'wrapStream' | 'wrapNetwork'
>;

const FAULT_COUNT = 80;
/** Time for the hosts to settle before the first fault. */
const START_MILLISECONDS = 4_000;
/** Time after the last fault within which every group must have one owner. */
const RECOVERY_MILLISECONDS = 30_000;
/** Every third case changes the voters. */
const VOTER_CASE_INTERVAL = 3;
const GROUPS = ['rack-1', 'rack-2', 'rack-3'];
const INITIAL_HOSTS = ['a', 'b', 'c', 'd', 'e'];
const ADDED_HOSTS = ['f', 'g'];

/** Short periods, so that a run has many group moves and voter changes. */
const CASE_SETTINGS = {
  rebalanceIntervalMilliseconds: 1_000,
  rebalanceStableMilliseconds: 2_000,
  voterRemovalMilliseconds: 5_000,
};

/** One random run, with its hosts and faults. */
export class OwnershipFuzzCase {
  readonly faults: readonly OwnershipFault[];
  private readonly hosts: readonly string[];

  private constructor(
    private readonly seed: number,
    private readonly overrides: SimulationOverrides,
  ) {
    const hasVoterChanges = seed % VOTER_CASE_INTERVAL === 0;
    this.hosts = hasVoterChanges
      ? [...INITIAL_HOSTS, ...ADDED_HOSTS]
      : INITIAL_HOSTS;
    this.faults = generateOwnershipFaults(SeededRandomSource.create(seed), {
      hosts: this.hosts,
      groups: GROUPS,
      count: FAULT_COUNT,
      start: START_MILLISECONDS,
      leavingHosts: hasVoterChanges ? ['a', 'g'] : [],
    });
  }

  static create(
    seed: number,
    overrides: SimulationOverrides = {},
  ): OwnershipFuzzCase {
    return new OwnershipFuzzCase(seed, overrides);
  }

  /** Runs the given faults; returns the first violation, if any. */
  async run(faults = this.faults): Promise<string | undefined> {
    const {seed, overrides} = this;
    const simulation = OwnershipSimulation.create({
      seed,
      hosts: this.hosts,
      groups: GROUPS,
      ...overrides,
      settings: {...CASE_SETTINGS, ...overrides.settings},
    });
    await simulation.start(INITIAL_HOSTS);
    await simulation.runUntil(START_MILLISECONDS);
    await simulation.start(this.hosts.slice(INITIAL_HOSTS.length));
    let lastFaultEnd = START_MILLISECONDS;
    for (const fault of faults) {
      await simulation.runUntil(fault.at);
      if (simulation.oracle.violation) break;
      simulation.begin(fault);
      lastFaultEnd = Math.max(
        lastFaultEnd,
        'until' in fault ? fault.until : fault.at,
      );
    }
    await simulation.runUntil(lastFaultEnd + RECOVERY_MILLISECONDS);
    const {violation} = simulation.oracle;
    if (violation) {
      return `at ${simulation.engine.now().toFixed(0)}: ${violation}`;
    }
    return this.livenessViolation(simulation);
  }

  private livenessViolation(
    simulation: OwnershipSimulation,
  ): string | undefined {
    for (const group of GROUPS) {
      const holders = simulation.oracle.holders(group);
      if (holders.length !== 1) {
        return `${group} has ${holders.length} holders after the faults ended`;
      }
      const owners = simulation
        .remainingHosts()
        .map(host => host.manager?.ownerOf(group)?.process);
      if (owners.some(owner => owner !== holders[0])) {
        return `${group}: hosts disagree on the owner: ${owners.join(', ')}`;
      }
    }
    return undefined;
  }
}
