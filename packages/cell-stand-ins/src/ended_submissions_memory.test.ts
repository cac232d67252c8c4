import {UnavailableError} from '@cardamomfield/errors';
import {expect, it} from 'vitest';
import {CellHarness} from './cell_harness.js';
import {createSubmission} from './plain_submission.js';

const LIMITS = {
  recordBytes: 262_144,
  requestBytes: 2_097_152,
  memoryBytes: 400_000,
};

/** More endings than fit into the memory for submissions. */
const SUBMISSIONS = 4_000;

/** Measured heap that an ending takes at least. */
const ENDING_BYTES = 190;

/** Longer than the simulated owners keep endings. */
const RETENTION_MILLISECONDS = 610_000;

function idOf(index: number): string {
  return index.toString(16).padStart(16, '0');
}

// Guards against a memory and a log that callers fill at will: an ending is kept
// for minutes, and callers cancel what they have submitted.
it('bounds the endings of submissions that their callers cancel', async () => {
  const harness = CellHarness.create({
    seed: 1,
    workerIds: [],
    overrides: {limits: LIMITS},
  });
  const {virtualClock, store} = harness;
  const host = harness.addHost('host');
  void host.claim(0);
  await virtualClock.advance(2_300);
  const {queue, specification} = createSubmission(1);
  const submit = async (id: string) => {
    const submitted = host.owner!.submit(id, queue, specification);
    await virtualClock.advance(20);
    return (await submitted).extract();
  };
  const refused: unknown[] = [];
  for (let index = 0; index < SUBMISSIONS; index++) {
    const outcome = await submit(idOf(index));
    if (outcome instanceof Error) refused.push(outcome);
    else void host.owner!.cancel(idOf(index));
  }
  await virtualClock.advance(100);
  const endings = store.read().filter(({key}) => key.startsWith('e/'));
  expect(endings.length * ENDING_BYTES).toBeLessThan(LIMITS.memoryBytes);
  expect(endings.length + refused.length).toBe(SUBMISSIONS);
  expect(refused.length).toBeGreaterThan(0);
  expect(refused.every(each => each instanceof UnavailableError)).toBe(true);

  // Endings are shown for as long as without the limit, and no longer.
  expect(host.owner!.describe(idOf(0))).toBe('cancelled');
  await virtualClock.advance(RETENTION_MILLISECONDS);
  expect(host.owner!.describe(idOf(0))).toBeUndefined();
  expect(await submit(idOf(SUBMISSIONS))).not.toBeInstanceOf(Error);
  host.kill();
});
