import {OwnershipSimulation} from './ownership/ownership_simulation.js';

interface MeasurementOptions {
  hosts: number;
  groups: number;
  /** Number of runs; one owner fails in each. */
  runs: number;
}

interface Measurement {
  hosts: number;
  groups: number;
  /** Calls and answers that one host sends per second, without heartbeats. */
  messagesPerSecond: number;
  bytesPerSecond: number;
  /** Calls to the log service by one host per second. */
  logCallsPerSecond: number;
  /** Time from an owner's failure until another holds authority, per group. */
  takeoverMilliseconds: {
    count: number;
    minimum: number;
    median: number;
    p99: number;
    maximum: number;
  };
}

/** Time by which rebalancing has assigned all groups. */
const SETTLED_MILLISECONDS = 120_000;
const STEADY_STATE_MILLISECONDS = 30_000;
const STEP_MILLISECONDS = 10;
const MAXIMUM_TAKEOVER_MILLISECONDS = 30_000;

/** Measures message cost and takeover times of ownership in virtual time. */
export async function measureOwnership(
  options: MeasurementOptions,
): Promise<Measurement> {
  const takeovers: number[] = [];
  const totals = {messages: 0, bytes: 0, logCalls: 0};
  for (let seed = 1; seed <= options.runs; seed++) {
    const simulation = await createSettledSimulation(seed, options);
    await measureSteadyState(simulation, totals);
    takeovers.push(...(await measureTakeovers(simulation)));
  }
  takeovers.sort((first, second) => first - second);
  const quantile = (share: number) =>
    takeovers[Math.max(0, Math.ceil(share * takeovers.length) - 1)] ?? NaN;
  const hostSeconds =
    (options.runs * options.hosts * STEADY_STATE_MILLISECONDS) / 1_000;
  return {
    hosts: options.hosts,
    groups: options.groups,
    messagesPerSecond: totals.messages / hostSeconds,
    bytesPerSecond: totals.bytes / hostSeconds,
    logCallsPerSecond: totals.logCalls / hostSeconds,
    takeoverMilliseconds: {
      count: takeovers.length,
      minimum: quantile(0),
      median: quantile(0.5),
      p99: quantile(0.99),
      maximum: quantile(1),
    },
  };
}

async function createSettledSimulation(
  seed: number,
  {hosts, groups}: MeasurementOptions,
): Promise<OwnershipSimulation> {
  const numbered = (prefix: string) => (_: unknown, index: number) =>
    `${prefix}-${index + 1}`;
  const simulation = OwnershipSimulation.create({
    seed,
    hosts: Array.from({length: hosts}, numbered('entry')),
    groups: Array.from({length: groups}, numbered('rack')),
  });
  await simulation.start();
  await simulation.runUntil(SETTLED_MILLISECONDS);
  return simulation;
}

async function measureSteadyState(
  simulation: OwnershipSimulation,
  totals: {messages: number; bytes: number; logCalls: number},
): Promise<void> {
  simulation.links.sent.clear();
  simulation.log.calls = 0;
  await simulation.runUntil(
    simulation.engine.now() + STEADY_STATE_MILLISECONDS,
  );
  for (const {bytes, messages} of simulation.links.sent.values()) {
    totals.messages += messages;
    totals.bytes += bytes;
  }
  totals.logCalls += simulation.log.calls;
}

async function measureTakeovers(
  simulation: OwnershipSimulation,
): Promise<number[]> {
  // The host fails at a random phase of the heartbeats and of the periodic
  // evaluation of the groups.
  const {engine} = simulation;
  await simulation.runUntil(engine.now() + engine.randomBetween(0, 1_000));
  const {groups} = simulation.hosts[0]!.manager!.status();
  const pendingGroups = new Set(groups.map(({group}) => group));
  simulation.hosts[0]!.kill();
  const failedAt = engine.now();
  const takeovers: number[] = [];
  while (pendingGroups.size > 0) {
    if (engine.now() > failedAt + MAXIMUM_TAKEOVER_MILLISECONDS) break;
    await simulation.runUntil(engine.now() + STEP_MILLISECONDS);
    for (const group of pendingGroups) {
      if (simulation.oracle.holders(group).length === 0) continue;
      pendingGroups.delete(group);
      takeovers.push(engine.now() - failedAt);
    }
  }
  for (const _ of pendingGroups) takeovers.push(Infinity);
  return takeovers;
}
