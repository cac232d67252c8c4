import {UnavailableError} from '@cardamomfield/errors';
import {expect, it} from 'vitest';
import {CellRig} from './cell_rig.js';
import {createSubmission} from './plain_submission.js';

const SENT = '00000000000000aa';
const UNSENT = '00000000000000bb';

// Guards against callers that are held in doubt until their deadline although
// their submission was never sent to the log, and against one that is refused
// and runs all the same.
it('refuses what was not sent to the log when an outage begins', async () => {
  const rig = CellRig.create({seed: 3});
  const {base, store} = rig;
  const host = rig.addHost('host');
  void host.claim(0);
  await base.advance(2_300);
  const {queue, specification} = createSubmission(1);
  const sent = host.owner?.submit(SENT, queue, specification);
  await base.advance(1);
  store.isDown = true;
  await base.advance(100);
  const outcomes: unknown[] = [];
  for (const attempt of [1, 2]) {
    // The same ID again shares the fate of the first try.
    void host.owner
      ?.submit(UNSENT, queue, specification)
      .then(outcome => outcomes.push(attempt, outcome.extract()));
  }
  await base.advance(1_000);
  expect(outcomes).toEqual([
    1,
    expect.any(UnavailableError),
    2,
    expect.any(UnavailableError),
  ]);
  store.isDown = false;
  await base.advance(20_000);
  expect((await sent)?.isRight()).toBe(true);
  expect(host.owner?.show(SENT).extract()).toBe('completed');
  expect(host.owner?.show(UNSENT).isLeft()).toBe(true);
  expect(store.read().filter(({key}) => key.includes(UNSENT))).toEqual([]);
  host.kill();
});

// Guards against changes that are sent along to find out whether the log is
// back: their outcome would be in doubt.
it('asks a failing log before it sends new submissions', async () => {
  const rig = CellRig.create({seed: 3, workerIds: []});
  const {base, store} = rig;
  const host = rig.addHost('host');
  void host.claim(0);
  await base.advance(1_500);
  store.isDown = true;
  // The owner's regular proof of its epoch fails first.
  await base.advance(1_000);
  const {queue, specification} = createSubmission(1);
  const refused = host.owner?.submit(UNSENT, queue, specification);
  await base.advance(700);
  store.isDown = false;
  await base.advance(5_000);
  expect((await refused)?.extract()).toBeInstanceOf(UnavailableError);
  expect(store.read().filter(({key}) => key.includes(UNSENT))).toEqual([]);
  host.kill();
});
