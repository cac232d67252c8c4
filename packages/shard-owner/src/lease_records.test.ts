import {expect, it} from 'vitest';
import {LeaseRecords} from './lease_records.js';

const EPOCH = 20_000;

function createRecords(records: Array<[string, string]> = []) {
  const marked: string[] = [];
  const commits: Array<(isDurable: boolean) => void> = [];
  const leaseRecords = LeaseRecords.create({
    epoch: EPOCH,
    records: new Map(records),
    mark: key => marked.push(key),
    commit: () => new Promise(resolve => commits.push(resolve)),
  });
  return {leaseRecords, marked, commits};
}

// Guards against two runs of a task: the next owner would not count the leases of
// an owner that crashed before its record was durable.
it('allows grants only once the record names the present owner', async () => {
  const {leaseRecords, marked, commits} = createRecords([['l/w', '10000']]);
  expect(leaseRecords.lastGrantingEpoch('w')).toBe(10_000);
  expect(leaseRecords.allowsGrant('w')).toBe(false);
  leaseRecords.require('w');
  expect(marked).toEqual(['l/w']);
  expect(leaseRecords.encode('l/w')).toBe('20000');
  expect(leaseRecords.allowsGrant('w')).toBe(false);
  commits[0]?.(true);
  await Promise.resolve();
  expect(leaseRecords.allowsGrant('w')).toBe(true);
  expect(leaseRecords.lastGrantingEpoch('w')).toBe(10_000);
});

it('writes no record for a worker without lasting tasks', () => {
  const {leaseRecords, marked} = createRecords();
  expect(leaseRecords.allowsGrant('w')).toBe(true);
  leaseRecords.remove('w');
  leaseRecords.noteEndedBefore(10_000);
  expect(marked).toEqual([]);
});

it('removes the record of a worker that has gone', () => {
  const {leaseRecords, marked} = createRecords([['l/w', '10000']]);
  leaseRecords.remove('w');
  expect(marked).toEqual(['l/w']);
  expect(leaseRecords.encode('l/w')).toBe('');
});

it('records the epoch before which no leases are left with the first worker', () => {
  const {leaseRecords, marked} = createRecords();
  leaseRecords.noteEndedBefore(EPOCH);
  leaseRecords.require('w');
  expect(marked).toEqual(['l/w', 'l']);
  expect(leaseRecords.encode('l')).toBe('20000');
  const {leaseRecords: next} = createRecords([['l', '20000']]);
  expect(next.haveEndedBefore(EPOCH)).toBe(true);
  expect(next.haveEndedBefore(10_000)).toBe(false);
});
