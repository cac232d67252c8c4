import {UnavailableError} from '@cardamomfield/errors';
import {expect, it} from 'vitest';
import {CellHarness} from './cell_harness.js';
import {createSubmission} from './plain_submission.js';

const SENT = '00000000000000aa';
const UNSENT = '00000000000000bb';

// Guards against callers that wait until their deadline for an uncertain answer
// although their submission was never sent to the log, and against a submission
// that is refused but runs nevertheless.
it('refuses what was not sent to the log when an outage begins', async () => {
  const harness = CellHarness.create({seed: 3});
  const {virtualClock, store} = harness;
  const host = harness.addHost('host');
  void host.claim(0);
  await virtualClock.advance(2_300);
  const {queue, specification} = createSubmission(1);
  const sent = host.owner?.submit(SENT, queue, specification);
  await virtualClock.advance(1);
  store.isDown = true;
  await virtualClock.advance(100);
  const outcomes: unknown[] = [];
  for (const attempt of [1, 2]) {
    // A repeat with the same ID has the same outcome as the first attempt.
    void host.owner
      ?.submit(UNSENT, queue, specification)
      .then(outcome => outcomes.push(attempt, outcome.extract()));
  }
  await virtualClock.advance(1_000);
  expect(outcomes).toEqual([
    1,
    expect.any(UnavailableError),
    2,
    expect.any(UnavailableError),
  ]);
  store.isDown = false;
  await virtualClock.advance(20_000);
  expect((await sent)?.isRight()).toBe(true);
  expect(host.owner?.describe(SENT)).toBe('completed');
  expect(host.owner?.describe(UNSENT)).toBeUndefined();
  expect(store.read().filter(({key}) => key.includes(UNSENT))).toEqual([]);
  host.kill();
});

// Guards against using a change to probe whether the log is available again:
// the outcome of that change would be uncertain.
it('probes a failing log before it sends new submissions', async () => {
  const harness = CellHarness.create({seed: 3, workerIds: []});
  const {virtualClock, store} = harness;
  const host = harness.addHost('host');
  void host.claim(0);
  await virtualClock.advance(1_500);
  store.isDown = true;
  // The owner's regular confirmation of its epoch fails first.
  await virtualClock.advance(1_000);
  const {queue, specification} = createSubmission(1);
  const refused = host.owner?.submit(UNSENT, queue, specification);
  await virtualClock.advance(700);
  store.isDown = false;
  await virtualClock.advance(5_000);
  expect((await refused)?.extract()).toBeInstanceOf(UnavailableError);
  expect(store.read().filter(({key}) => key.includes(UNSENT))).toEqual([]);
  host.kill();
});
