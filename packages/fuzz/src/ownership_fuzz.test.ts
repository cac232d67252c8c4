import {describe, expect, it} from 'vitest';
import {runOwnershipFuzz} from './ownership_fuzz.js';
import {hidingHeardHosts} from './ownership/hiding_heard_hosts.js';
import {runUnheardClaim} from './ownership/unheard_claim.js';
import {WEAKENED_OWNERSHIP} from './ownership/weakened_ownership.js';

type UnheardClaimOptions = Parameters<typeof runUnheardClaim>[0];
type Scenario = Pick<UnheardClaimOptions, 'before' | 'after'>;

const SEEDS = [1, 2, 3, 4, 5, 6, 7, 8];

function fuzz(
  seed: number,
  runs: number,
  weakening?: UnheardClaimOptions['weakening'],
) {
  const print = () => {};
  return runOwnershipFuzz({seed, runs, weakening, print, isShrinking: false});
}

/** Runs a scenario with several seeds. */
async function runAll(
  scenario: Scenario,
  weakening: UnheardClaimOptions['weakening'] = {},
) {
  const violations: string[] = [];
  const holders = new Set<string | undefined>();
  for (const seed of SEEDS) {
    const result = await runUnheardClaim({seed, weakening, ...scenario});
    if (result.violation) violations.push(result.violation);
    holders.add(result.holder);
  }
  return {violations, holders: [...holders]};
}

const acknowledged: Scenario = {before: () => [], after: () => []};

const isolatedClaimant: Scenario = {
  before: ({claimant, voter}, at, until) => [
    {at, kind: 'cut', from: claimant, to: voter, until},
  ],
  after: () => [],
};

const restartedVoter: Scenario = {
  before: () => [],
  after: ({voter}, at) => [{at, kind: 'restart', host: voter, until: at + 100}],
};

const silencedVoter: Scenario = {
  before: () => [],
  after: ({owner, voter}, at, until) => [
    {at, kind: 'cut', from: voter, to: owner, until},
  ],
};

describe('ownership under random faults', () => {
  // Guards against two hosts that place work on one group, against folds that
  // differ, and against groups that stay without an owner after faults end.
  it('keeps one holder a group', async () => {
    const result = await fuzz(1, 30);
    expect(result.violation).toBeUndefined();
  });

  // Guards against an oracle or random faults too weak to notice anything.
  // Hosts claim from living owners here, as they do less often since they
  // ask who else hears an owner; the correct version must bear that.
  it('notices a claim that takes effect at once', async () => {
    const eager = {wrapNetwork: hidingHeardHosts};
    const correct = await fuzz(1, 12, eager);
    expect(correct.violation).toBeUndefined();
    const weakening = {...WEAKENED_OWNERSHIP.noWait, ...eager};
    const result = await fuzz(1, 12, weakening);
    expect(result.violation).toContain('two holders');
  });
});

describe('a claim that the owner does not hear of', () => {
  // Guards against a claim that never takes effect.
  it('takes effect with the acknowledgement of a majority', async () => {
    const result = await runAll(acknowledged);
    expect(result).toEqual({violations: [], holders: ['claimant']});
  });

  // Guards against overlap of the claimant with what remains of the authority.
  it('overlaps without the wait', async () => {
    const result = await runAll(acknowledged, WEAKENED_OWNERSHIP.noWait);
    expect(result.violations).not.toEqual([]);
  });

  // Guards against a claimant that acts although no majority knows its claim.
  it('has no effect without a majority', async () => {
    const result = await runAll(isolatedClaimant);
    expect(result).toEqual({violations: [], holders: ['owner']});
  });

  it('overlaps when no majority is needed', async () => {
    const weakening = WEAKENED_OWNERSHIP.noMajority;
    const result = await runAll(isolatedClaimant, weakening);
    expect(result.violations).not.toEqual([]);
  });

  // Guards against a restarted voter that denies a claim it acknowledged.
  it('is not denied by a voter that restarted', async () => {
    const result = await runAll(restartedVoter);
    expect(result).toEqual({violations: [], holders: ['claimant']});
  });

  it('overlaps when a voter answers before it has read the tail', async () => {
    const weakening = WEAKENED_OWNERSHIP.answersBeforeTail;
    const result = await runAll(restartedVoter, weakening);
    expect(result.violations).not.toEqual([]);
  });

  // Guards against authority that lasts T from the arrival of the last answer.
  it('starts after the authority that the last answer gave', async () => {
    const result = await runAll(silencedVoter);
    expect(result).toEqual({violations: [], holders: ['claimant']});
  });

  it('overlaps when an answer counts from a later instant', async () => {
    const weakening = WEAKENED_OWNERSHIP.stampedAtArrival;
    const result = await runAll(silencedVoter, weakening);
    expect(result.violations).not.toEqual([]);
  });
});
