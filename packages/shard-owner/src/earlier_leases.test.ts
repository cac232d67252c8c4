import {expect, it} from 'vitest';
import {EarlierLeases} from './earlier_leases.js';
import {LeaseRecords} from './lease_records.js';
import {LeaseTerms} from './lease_terms.js';
import type {OwnerTiming} from './owner_timing.js';

const EPOCH = 40_000;
const WORKER_ID = 'worker';

const TIMING: OwnerTiming = {
  maximumLeaseMilliseconds: 10_000,
  stopMilliseconds: 100,
  gangWaitMilliseconds: 3_000,
  keepEndedMilliseconds: 600_000,
};

const LEASE_RUN_MILLISECONDS = LeaseTerms.runMilliseconds(
  LeaseTerms.leaseMilliseconds,
  TIMING,
);
const LONGEST_RUN_MILLISECONDS = LeaseTerms.runMilliseconds(
  LeaseTerms.afterProofMilliseconds,
  TIMING,
);

/** Monotonic times at which each epoch was learned of and granted last. */
type Owners = Array<[epoch: number, learnedAt: number, grantedAt?: number]>;

function endAt(
  owners: Owners,
  {
    lastEpoch,
    unboundedLeasesEndAt = -Infinity,
  }: {
    lastEpoch?: number;
    unboundedLeasesEndAt?: number;
  } = {},
): number {
  const records = new Map<string, string>();
  if (lastEpoch) records.set(`l/${WORKER_ID}`, String(lastEpoch));
  const leases = EarlierLeases.create({
    epoch: EPOCH,
    formerOwners: {
      epochs: owners.map(([epoch]) => epoch),
      replacedAt: epoch =>
        owners.find(([other]) => other > epoch)?.[1] ?? Infinity,
      lastGrantAt: epoch => owners.find(([other]) => other === epoch)?.[2],
    },
    records: LeaseRecords.create({
      epoch: EPOCH,
      records,
      mark: () => {},
      commit: async () => true,
    }),
    timing: TIMING,
    unboundedLeasesEndAt,
  });
  return leases.endAt(WORKER_ID);
}

it('waits from the claim for an owner of which nothing is known', () => {
  const owners: Owners = [
    [10_000, 0, 1_000],
    [20_000, 2_000, 3_000],
    [30_000, 4_000],
    [EPOCH, 6_000],
  ];
  expect(endAt(owners)).toBe(6_000 + LONGEST_RUN_MILLISECONDS);
});

// Guards against a wait that begins anew with each owner in series.
it('ignores owners that granted the worker no lease', () => {
  const owners: Owners = [
    [10_000, 0, 1_000],
    [20_000, 2_000],
    [30_000, 4_000],
    [EPOCH, 6_000],
  ];
  expect(endAt(owners, {lastEpoch: 10_000})).toBe(
    1_000 + LEASE_RUN_MILLISECONDS,
  );
});

it('counts a last grant that is later than the claim that followed', () => {
  const owners: Owners = [
    [30_000, 4_000, 8_000],
    [EPOCH, 6_000],
  ];
  expect(endAt(owners, {lastEpoch: 30_000})).toBe(
    8_000 + LEASE_RUN_MILLISECONDS,
  );
});

// Guards against leases of owners whose claims this process has not learned of.
it('waits from the first known claim for the owners before it', () => {
  const owners: Owners = [
    [30_000, 4_000, 4_500],
    [EPOCH, 6_000],
  ];
  expect(endAt(owners)).toBe(4_000 + LONGEST_RUN_MILLISECONDS);
  expect(endAt(owners, {lastEpoch: 20_000})).toBe(
    4_000 + LONGEST_RUN_MILLISECONDS,
  );
});

// Guards against leases of an earlier version, which are not bounded so.
it('waits for leases that are not bounded', () => {
  const owners: Owners = [
    [30_000, 4_000, 4_500],
    [EPOCH, 6_000],
  ];
  expect(endAt(owners, {unboundedLeasesEndAt: 20_000})).toBe(20_000);
});
