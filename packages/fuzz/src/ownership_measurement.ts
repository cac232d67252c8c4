import {OwnershipSimulation} from './ownership/ownership_simulation.js';

interface MeasurementOptions {
  hosts: number;
  groups: number;
  /** One owner dies in each run. */
  runs: number;
}

interface Measurement {
  hosts: number;
  groups: number;
  /** Calls and answers that one host sends a second, without heartbeats. */
  messagesPerSecond: number;
  bytesPerSecond: number;
  /** Calls to the log service by one host a second. */
  logCallsPerSecond: number;
  /** From an owner's death until another host holds authority, per group. */
  takeoverMilliseconds: {
    count: number;
    minimum: number;
    median: number;
    p99: number;
    maximum: number;
  };
}

/** All groups have moved to their places by then. */
const SETTLED_MILLISECONDS = 120_000;
const QUIET_MILLISECONDS = 30_000;
const STEP_MILLISECONDS = 10;
const LONGEST_TAKEOVER_MILLISECONDS = 30_000;

/** Measures cost and takeover of ownership in virtual time. */
export async function measureOwnership(
  options: MeasurementOptions,
): Promise<Measurement> {
  const takeovers: number[] = [];
  const totals = {messages: 0, bytes: 0, logCalls: 0};
  for (let seed = 1; seed <= options.runs; seed++) {
    const simulation = await settledSimulation(seed, options);
    await measureQuiet(simulation, totals);
    takeovers.push(...(await measureTakeover(simulation)));
  }
  takeovers.sort((first, second) => first - second);
  const quantile = (share: number) =>
    takeovers[Math.max(0, Math.ceil(share * takeovers.length) - 1)] ?? NaN;
  const hostSeconds =
    (options.runs * options.hosts * QUIET_MILLISECONDS) / 1_000;
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

async function settledSimulation(
  seed: number,
  {hosts, groups}: MeasurementOptions,
): Promise<OwnershipSimulation> {
  const name = (prefix: string) => (_: unknown, index: number) =>
    `${prefix}-${index + 1}`;
  const simulation = OwnershipSimulation.create({
    seed,
    hosts: Array.from({length: hosts}, name('entry')),
    groups: Array.from({length: groups}, name('rack')),
  });
  await simulation.start();
  await simulation.runUntil(SETTLED_MILLISECONDS);
  return simulation;
}

async function measureQuiet(
  simulation: OwnershipSimulation,
  totals: {messages: number; bytes: number; logCalls: number},
): Promise<void> {
  simulation.links.sent.clear();
  simulation.log.calls = 0;
  await simulation.runUntil(simulation.world.now() + QUIET_MILLISECONDS);
  for (const {bytes, messages} of simulation.links.sent.values()) {
    totals.messages += messages;
    totals.bytes += bytes;
  }
  totals.logCalls += simulation.log.calls;
}

async function measureTakeover(
  simulation: OwnershipSimulation,
): Promise<number[]> {
  // A death at a random phase of the heartbeats and of the evaluation.
  const {world} = simulation;
  await simulation.runUntil(world.now() + world.between(0, 1_000));
  const {groups} = simulation.hosts[0]!.manager!.status();
  const waiting = new Set(groups.map(({group}) => group));
  simulation.hosts[0]!.kill();
  const diedAt = world.now();
  const takeovers: number[] = [];
  while (waiting.size > 0) {
    if (world.now() > diedAt + LONGEST_TAKEOVER_MILLISECONDS) break;
    await simulation.runUntil(world.now() + STEP_MILLISECONDS);
    for (const group of waiting) {
      if (simulation.oracle.holders(group).length === 0) continue;
      waiting.delete(group);
      takeovers.push(world.now() - diedAt);
    }
  }
  for (const _ of waiting) takeovers.push(Infinity);
  return takeovers;
}
