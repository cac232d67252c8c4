import {SeededRandomSource} from '@cardamomfield/clock';
import type {OwnershipFault} from './ownership_fault.js';
import {ownershipFaults} from './ownership_faults.js';
import {OwnershipSimulation} from './ownership_simulation.js';

type SimulationOptions = Parameters<typeof OwnershipSimulation.create>[0];

/** Faulty collaborators and settings under which a case runs. */
type Weakening = Pick<
  SimulationOptions,
  'settings' | 'wrapStream' | 'wrapNetwork'
>;

const FAULTS = 80;
/** Hosts settle before the first fault. */
const START_MILLISECONDS = 4_000;
/** Time after the last fault until every group must have one owner. */
const RECOVERY_MILLISECONDS = 30_000;
/** Every third case changes the voters. */
const VOTER_CASE_INTERVAL = 3;
const GROUPS = ['rack-1', 'rack-2', 'rack-3'];
const FIRST_HOSTS = ['a', 'b', 'c', 'd', 'e'];
const LATER_HOSTS = ['f', 'g'];

/** Short periods, so that a run sees many moves and voter changes. */
const CASE_SETTINGS = {
  rebalanceIntervalMilliseconds: 1_000,
  rebalanceStableMilliseconds: 2_000,
  voterRemovalMilliseconds: 5_000,
};

/** One random run: which hosts take part and what happens to them. */
export class OwnershipFuzzCase {
  readonly faults: readonly OwnershipFault[];
  private readonly hosts: readonly string[];

  private constructor(
    private readonly seed: number,
    private readonly weakening: Weakening,
  ) {
    const hasVoterChanges = seed % VOTER_CASE_INTERVAL === 0;
    this.hosts = hasVoterChanges
      ? [...FIRST_HOSTS, ...LATER_HOSTS]
      : FIRST_HOSTS;
    this.faults = ownershipFaults(SeededRandomSource.create(seed), {
      hosts: this.hosts,
      groups: GROUPS,
      count: FAULTS,
      start: START_MILLISECONDS,
      leaving: hasVoterChanges ? ['a', 'g'] : [],
    });
  }

  static create(seed: number, weakening: Weakening = {}): OwnershipFuzzCase {
    return new OwnershipFuzzCase(seed, weakening);
  }

  /** Runs the given faults; returns what was violated, if anything. */
  async run(faults = this.faults): Promise<string | undefined> {
    const {seed, weakening} = this;
    const simulation = OwnershipSimulation.create({
      seed,
      hosts: this.hosts,
      groups: GROUPS,
      ...weakening,
      settings: {...CASE_SETTINGS, ...weakening.settings},
    });
    await simulation.start(FIRST_HOSTS);
    await simulation.runUntil(START_MILLISECONDS);
    await simulation.start(this.hosts.slice(FIRST_HOSTS.length));
    let last = START_MILLISECONDS;
    for (const fault of faults) {
      await simulation.runUntil(fault.at);
      if (simulation.oracle.violation) break;
      simulation.begin(fault);
      last = Math.max(last, 'until' in fault ? fault.until : fault.at);
    }
    await simulation.runUntil(last + RECOVERY_MILLISECONDS);
    const {violation} = simulation.oracle;
    if (violation) {
      return `at ${simulation.world.now().toFixed(0)}: ${violation}`;
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
