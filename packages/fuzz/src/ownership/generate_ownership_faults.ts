import type {RandomSource} from '@cardamomfield/clock';
import type {OwnershipFault} from './ownership_fault.js';

interface FaultPlan {
  hosts: readonly string[];
  groups: readonly string[];
  /** Number of faults; an undelivered claim counts as one. */
  count: number;
  /** Faults begin after this instant. */
  start: number;
  /** Hosts that may leave permanently. */
  leavingHosts: readonly string[];
}

/** Mean time between the starts of two faults. */
const MEAN_INTERVAL_MILLISECONDS = 450;

/** One in this many faults leads to a claim that reaches few hosts. */
const UNDELIVERED_CLAIM_INTERVAL = 12;

/** Returns a random list of faults, ordered by their start. */
export function generateOwnershipFaults(
  random: RandomSource,
  plan: FaultPlan,
): OwnershipFault[] {
  const faults: OwnershipFault[] = [];
  let at = plan.start;
  for (let index = 0; index < plan.count; index++) {
    at += 2 * MEAN_INTERVAL_MILLISECONDS * random.fraction();
    const isUndeliveredClaim =
      random.integerBelow(UNDELIVERED_CLAIM_INTERVAL) === 0;
    faults.push(
      ...(isUndeliveredClaim
        ? undeliveredClaim(random, plan, at)
        : [randomFault(random, plan, at)]),
    );
  }
  return faults;
}

function pick<Value>(random: RandomSource, values: readonly Value[]): Value {
  return values[random.integerBelow(values.length)]!;
}

/**
 * Only the claimant reaches the log, and it receives nothing from the owner.
 * It therefore claims the groups of an owner that may still hold authority
 * through the answers of the other hosts.
 */
function undeliveredClaim(
  random: RandomSource,
  plan: FaultPlan,
  at: number,
): OwnershipFault[] {
  const claimant = pick(random, plan.hosts);
  const owner = pick(random, plan.hosts);
  const until = at + 8_000;
  const others = plan.hosts.filter(host => host !== claimant);
  const faults: OwnershipFault[] = [
    {at, kind: 'cut', from: owner, to: claimant, until},
    {at, kind: 'log-outage', hosts: others, until},
  ];
  for (const host of others) {
    if (random.fraction() < 0.3) {
      faults.push({at, kind: 'cut', from: claimant, to: host, until});
    }
  }
  return faults;
}

function randomFault(
  random: RandomSource,
  plan: FaultPlan,
  at: number,
): OwnershipFault {
  const randomEnd = (longest: number) => at + longest * random.fraction();
  const host = pick(random, plan.hosts);
  const roll = random.integerBelow(100);
  if (roll < 35) {
    const to = pick(random, plan.hosts);
    return {at, kind: 'cut', from: host, to, until: randomEnd(8_000)};
  }
  if (roll < 55) {
    // Half of the pauses can be longer than the authority period.
    const longest = random.fraction() < 0.5 ? 1_500 : 6_000;
    return {at, kind: 'pause', host, until: randomEnd(longest)};
  }
  if (roll < 64) {
    return {at, kind: 'restart', host, until: randomEnd(3_000)};
  }
  if (roll < 80) {
    // Peers that can read the log learn of a claim without its announcement, so
    // in half of the outages only one host reaches the log.
    const isOnlyReader = random.fraction() < 0.5;
    const hosts = plan.hosts.filter(name =>
      isOnlyReader ? name !== host : random.fraction() < 0.6,
    );
    return {at, kind: 'log-outage', hosts, until: randomEnd(8_000)};
  }
  if (roll < 84) {
    const milliseconds = 4_000 * random.fraction();
    return {at, kind: 'log-delay', milliseconds, until: randomEnd(5_000)};
  }
  if (roll < 88) {
    const share = random.fraction();
    return {at, kind: 'lost-answers', share, until: randomEnd(5_000)};
  }
  if (roll < 93) {
    const share = 0.5 * random.fraction();
    return {at, kind: 'late-messages', share, until: randomEnd(5_000)};
  }
  if (roll < 99 || plan.leavingHosts.length === 0) {
    return {at, kind: 'release', host, group: pick(random, plan.groups)};
  }
  return {at, kind: 'leave', host: pick(random, plan.leavingHosts)};
}
