import {expect, it} from 'vitest';
import {CellHarness} from './cell_harness.js';
import {createSubmission} from './plain_submission.js';

const IDS = ['aa', 'bb', 'cc', 'dd'].map(end => `00000000000000${end}`);

// Guards against a takeover that reads every submission of the last minutes in
// full (500 records in four pages and 0.2 s on a small cell), and against work
// that starts again because only the record of its end is left.
it('keeps one record of an ended submission', async () => {
  const harness = CellHarness.create({seed: 2, milliCores: 90_000});
  const {virtualClock, store, ledger} = harness;
  const first = harness.addHost('first');
  const second = harness.addHost('second');
  void first.claim(0);
  await virtualClock.advance(2_300);
  const {queue, specification} = createSubmission(3);
  for (const id of IDS) void first.owner?.submit(id, queue, specification);
  await virtualClock.advance(100);
  void first.owner?.cancel(IDS[0]!);
  await virtualClock.advance(120_000);
  const keys = store.read().map(({key}) => key);
  expect(keys.sort()).toEqual([...IDS.map(id => `e/${id}`), 'o']);
  first.kill();
  void second.claim(1);
  await virtualClock.advance(20_000);
  const states = IDS.map(id => second.owner?.describe(id));
  expect(states).toEqual(['cancelled', 'completed', 'completed', 'completed']);
  expect(ledger.runningTasks()).toEqual([]);
  expect(ledger.violations).toEqual([]);
  second.kill();
});
