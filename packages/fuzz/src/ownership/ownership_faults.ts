import type {RandomSource} from '@cardamomfield/clock';
import type {OwnershipFault} from './ownership_fault.js';

interface FaultPlan {
  hosts: readonly string[];
  groups: readonly string[];
  /** Faults in a run. */
  count: number;
  /** Faults begin after this instant. */
  start: number;
  /** Hosts that may leave for good. */
  leaving: readonly string[];
}

/** Mean time between the beginnings of two faults. */
const MEAN_GAP_MILLISECONDS = 450;

/** One in so many faults leads to a claim that few hosts hear of. */
const UNHEARD_CLAIM_INTERVAL = 12;

/** A random list of faults, in order of their beginnings. */
export function ownershipFaults(
  random: RandomSource,
  plan: FaultPlan,
): OwnershipFault[] {
  const faults: OwnershipFault[] = [];
  let at = plan.start;
  for (let index = 0; index < plan.count; index++) {
    at += 2 * MEAN_GAP_MILLISECONDS * random.fraction();
    const isUnheardClaim = random.integerBelow(UNHEARD_CLAIM_INTERVAL) === 0;
    faults.push(
      ...(isUnheardClaim
        ? unheardClaim(random, plan, at)
        : [oneFault(random, plan, at)]),
    );
  }
  return faults;
}

function pick<Value>(random: RandomSource, values: readonly Value[]): Value {
  return values[random.integerBelow(values.length)]!;
}

/**
 * One host alone reaches the log and does not hear another, so it claims the
 * groups of an owner that may hold authority by the answers of the others.
 */
function unheardClaim(
  random: RandomSource,
  plan: FaultPlan,
  at: number,
): OwnershipFault[] {
  const reader = pick(random, plan.hosts);
  const owner = pick(random, plan.hosts);
  const until = at + 8_000;
  const others = plan.hosts.filter(host => host !== reader);
  const faults: OwnershipFault[] = [
    {at, kind: 'cut', from: owner, to: reader, until},
    {at, kind: 'log-outage', hosts: others, until},
  ];
  for (const host of others) {
    if (random.fraction() < 0.3) {
      faults.push({at, kind: 'cut', from: reader, to: host, until});
    }
  }
  return faults;
}

function oneFault(
  random: RandomSource,
  plan: FaultPlan,
  at: number,
): OwnershipFault {
  const until = (longest: number) => at + longest * random.fraction();
  const host = pick(random, plan.hosts);
  const roll = random.integerBelow(100);
  if (roll < 35) {
    const to = pick(random, plan.hosts);
    return {at, kind: 'cut', from: host, to, until: until(8_000)};
  }
  if (roll < 55) {
    // Half of the pauses are longer than the authority period.
    const longest = random.fraction() < 0.5 ? 1_500 : 6_000;
    return {at, kind: 'pause', host, until: until(longest)};
  }
  if (roll < 64) {
    return {at, kind: 'restart', host, until: until(3_000)};
  }
  if (roll < 80) {
    // Peers that can read the log hear of a claim without its announcement, so
    // half of the outages leave the log to one host only.
    const isOnlyReader = random.fraction() < 0.5;
    const hosts = plan.hosts.filter(name =>
      isOnlyReader ? name !== host : random.fraction() < 0.6,
    );
    return {at, kind: 'log-outage', hosts, until: until(8_000)};
  }
  if (roll < 84) {
    const milliseconds = 4_000 * random.fraction();
    return {at, kind: 'log-delay', milliseconds, until: until(5_000)};
  }
  if (roll < 88) {
    const share = random.fraction();
    return {at, kind: 'lost-answers', share, until: until(5_000)};
  }
  if (roll < 93) {
    const share = 0.5 * random.fraction();
    return {at, kind: 'late-messages', share, until: until(5_000)};
  }
  if (roll < 99 || plan.leaving.length === 0) {
    return {at, kind: 'release', host, group: pick(random, plan.groups)};
  }
  return {at, kind: 'leave', host: pick(random, plan.leaving)};
}
