import {expect, it} from 'vitest';
import {CellRig} from './cell_rig.js';
import {createSubmission} from './plain_submission.js';

const IDS = ['aa', 'bb', 'cc', 'dd'].map(end => `00000000000000${end}`);

// Guards against a takeover that reads every submission of the last minutes in
// full (500 records of four pages and 0.2 s on a small cell), and against work
// that starts again because only the record of its end is left.
it('keeps one record of an ended submission', async () => {
  const rig = CellRig.create({seed: 2, milliCores: 90_000});
  const {base, store, ledger} = rig;
  const first = rig.addHost('first');
  const second = rig.addHost('second');
  void first.claim(0);
  await base.advance(2_300);
  const {queue, specification} = createSubmission(3);
  for (const id of IDS) void first.owner?.submit(id, queue, specification);
  await base.advance(100);
  void first.owner?.cancel(IDS[0]!);
  await base.advance(120_000);
  const keys = store.read().map(({key}) => key);
  expect(keys.sort()).toEqual([...IDS.map(id => `e/${id}`), 'o']);
  first.kill();
  void second.claim(1);
  await base.advance(20_000);
  const states = IDS.map(id => second.owner?.show(id).extract());
  expect(states).toEqual(['cancelled', 'completed', 'completed', 'completed']);
  expect(ledger.runningTasks()).toEqual([]);
  expect(ledger.broken).toEqual([]);
  second.kill();
});
