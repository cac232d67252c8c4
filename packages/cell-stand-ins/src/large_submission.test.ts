import {SeededRandomSource} from '@cardamomfield/clock';
import {InvalidInputError} from '@cardamomfield/errors';
import {expect, it} from 'vitest';
import {CellHarness} from './cell_harness.js';
import type {HostOverrides} from './host_overrides.js';
import {createSubmission} from './plain_submission.js';
import {SimulatedOwnerHost} from './simulated_owner_host.js';

const LARGE = '00000000000000aa';
const PLAIN = '00000000000000bb';
const LARGE_TASK_COUNT = 8_000;

const WORKER_COUNT = 8;

/** A worker's room: all of them together take both submissions at once. */
const MILLICORES = 2_000 * 1_500;

/** A submission of one step. */
function createLarge(taskCount: number) {
  const {specification} = createSubmission(taskCount);
  return {...specification, steps: specification.steps.slice(0, 1)};
}

/** A harness with an owner that has polled its worker. */
async function createCell(overrides: HostOverrides = {}) {
  const harness = CellHarness.create({
    seed: 7,
    workerIds: Array.from({length: WORKER_COUNT}, (_, index) => `w-${index}`),
    milliCores: MILLICORES,
    overrides,
  });
  const host = harness.addHost('first');
  void host.claim(0);
  await harness.virtualClock.advance(2_300);
  return {...harness, ...createSubmission(3), host, harness};
}

// Guards against a step whose progress outgrows the largest record of the log:
// nothing can be recorded any more, for any caller and by any next owner.
it('runs a step of thousands of tasks beside other work', async () => {
  const cell = await createCell();
  const {virtualClock, store, ledger, host, queue, specification} = cell;
  const large = createLarge(LARGE_TASK_COUNT);
  const answers = [
    host.owner?.submit(LARGE, queue, large),
    host.owner?.submit(PLAIN, queue, specification),
  ];
  await virtualClock.advance(1_500);
  expect((await Promise.all(answers)).every(each => each?.isRight())).toBe(
    true,
  );
  await virtualClock.advance(100_000);
  const states = [LARGE, PLAIN].map(id => host.owner?.describe(id));
  expect(states).toEqual(['completed', 'completed']);
  expect(store.refusals).toBe(0);
  expect(ledger.violations).toEqual([]);
  host.kill();
});

// Guards against tasks of a large step that a new owner starts again because it
// does not find their progress.
it('keeps the progress of a large step over a change of the owner', async () => {
  const cell = await createCell();
  const {virtualClock, store, ledger, host, harness, queue} = cell;
  const second = harness.addHost('second');
  const large = createLarge(LARGE_TASK_COUNT);
  void host.owner?.submit(LARGE, queue, large);
  await virtualClock.advance(3_000);
  host.kill();
  void second.claim(1);
  await virtualClock.advance(100_000);
  expect(second.owner?.describe(LARGE)).toBe('completed');
  expect(store.read().map(({key}) => key)).toEqual(['o', `e/${LARGE}`]);
  expect(ledger.violations).toEqual([]);
  second.kill();
});

// Guards against submissions that exhaust the memory of each owner in turn.
it('refuses at once what can never be held', async () => {
  const {virtualClock, store, host, queue} = await createCell();
  const specification = createLarge(3_000_000);
  const timed = {...createSubmission(1).specification, occurrenceCount: 1e9};
  const outcomes = [
    await host.owner?.submit(LARGE, queue, specification),
    await host.owner?.submit(PLAIN, queue, timed),
  ];
  for (const outcome of outcomes) {
    const error = outcome?.extract();
    expect(error).toBeInstanceOf(InvalidInputError);
    expect(String(error)).toContain('the limit is 90000000 bytes');
  }
  await virtualClock.advance(1_000);
  expect(store.read().map(({key}) => key)).toEqual(['o']);
  host.kill();
});

// Guards against a log that refuses a record by a limit other than the stated
// one: the append would be repeated without end.
it('gives up a submission whose record the log refuses', async () => {
  const cell = await createCell({limits: {recordBytes: 1_000_000}});
  const {virtualClock, store, host, queue, specification} = cell;
  const answers = [
    host.owner?.submit(LARGE, queue, {
      ...specification,
      payload: 'x'.repeat(300_000),
    }),
    host.owner?.submit(PLAIN, queue, specification),
  ];
  await virtualClock.advance(60_000);
  const [refused, accepted] = await Promise.all(answers);
  expect(refused?.extract()).toBeInstanceOf(InvalidInputError);
  expect(accepted?.isRight()).toBe(true);
  expect(host.owner?.describe(PLAIN)).toBe('completed');
  expect(host.owner?.describe(LARGE)).toBeUndefined();
  expect(store.read().filter(({key}) => key.includes(LARGE))).toEqual([]);
  host.kill();
});

// Guards against a submission of an earlier version, accepted without a limit,
// that exhausts the memory of each owner that reads it.
it('ends a recorded submission that is too large', async () => {
  const {virtualClock, store, host, harness, queue} = await createCell();
  const specification = createLarge(3_000_000);
  const epoch = (host.owner?.epoch ?? 0) + 1;
  host.kill();
  const value = JSON.stringify({queue, specification, acceptedAt: 1});
  store.append([{key: `s/${LARGE}`, value}], epoch, 1);
  const second = harness.addHost('second');
  void second.claim(1);
  await virtualClock.advance(2_000);
  expect(second.owner?.describe(LARGE)).toBe('failed');
  expect(store.read().map(({key}) => key)).toEqual(['o', `e/${LARGE}`]);
  second.kill();
});

// Guards against an accepted submission that is ended as failed when a host with
// less memory takes over.
it('keeps a submission that a host with more memory has accepted', async () => {
  const cell = await createCell();
  const {virtualClock, host, harness, queue} = cell;
  const {specification} = createSubmission(1);
  const accepted = host.owner?.submit(LARGE, queue, {
    ...specification,
    occurrenceCount: 14_400,
    firstOccurrenceAtUnixMilliseconds: virtualClock.wallNow() + 30_000,
    occurrenceIntervalMilliseconds: 30_000,
  });
  await virtualClock.advance(1_000);
  expect((await accepted)?.isRight()).toBe(true);
  host.kill();
  const small = SimulatedOwnerHost.create({
    name: 'small',
    store: harness.store,
    workers: harness.workers,
    virtualClock,
    random: SeededRandomSource.create(1),
    overrides: {limits: {memoryBytes: 1_000_000}},
  });
  void small.claim(1);
  await virtualClock.advance(2_000);
  expect(small.owner?.describe(LARGE)).toBe('queued');
  await virtualClock.advance(32_000);
  expect(small.owner?.describe(LARGE)).toBe('running');
  small.kill();
});
