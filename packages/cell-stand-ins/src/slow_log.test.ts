import type {ShardLog} from '@cardamomfield/cell-model';
import {expect, it} from 'vitest';
import {CellHarness} from './cell_harness.js';
import {createSubmission} from './plain_submission.js';

const ANSWER_MILLISECONDS = 200;
const SUBMISSIONS = 40;
const SUBMISSION_INTERVAL_MILLISECONDS = 35;

/**
 * Accepting a change takes at least the time of one answer. With one append at
 * a time it would take one and a half times as long on average.
 */
const LONGEST_MEAN_MILLISECONDS = ANSWER_MILLISECONDS * 1.3;

/** Wraps a log to report the number of appends in flight. */
function countConcurrentAppends(
  log: ShardLog,
  onCount: (count: number) => void,
) {
  let count = 0;
  const countingLog: ShardLog = {
    readNewest: () => log.readNewest(),
    confirmEpoch: epoch => log.confirmEpoch(epoch),
    append: async (records, epoch, sequence) => {
      onCount(++count);
      const result = await log.append(records, epoch, sequence);
      count--;
      return result;
    },
  };
  return countingLog;
}

// Load: a burst of submissions while the store answers fifty times slower than
// usual. Guards against changes that wait because appends are sent one by one.
it('sends changes while a slow append is in flight', async () => {
  let maximumConcurrent = 0;
  const harness = CellHarness.create({
    seed: 11,
    workerIds: [],
    overrides: {
      wrapLog: log =>
        countConcurrentAppends(log, count => {
          maximumConcurrent = Math.max(maximumConcurrent, count);
        }),
    },
  });
  const {virtualClock} = harness;
  const host = harness.addHost('host');
  void host.claim(0);
  await virtualClock.advance(2_300);
  host.log.answerMilliseconds = ANSWER_MILLISECONDS;
  await virtualClock.advance(2_000);
  const {queue, specification} = createSubmission(1);
  const waits: number[] = [];
  for (let index = 0; index < SUBMISSIONS; index++) {
    const id = index.toString(16).padStart(16, '0');
    const sentAt = virtualClock.monotonicNow();
    void host.owner?.submit(id, queue, specification).then(outcome => {
      if (outcome.isRight()) waits.push(virtualClock.monotonicNow() - sentAt);
    });
    await virtualClock.advance(SUBMISSION_INTERVAL_MILLISECONDS);
  }
  await virtualClock.advance(2_000);
  expect(waits).toHaveLength(SUBMISSIONS);
  const mean = waits.reduce((sum, wait) => sum + wait, 0) / SUBMISSIONS;
  expect(mean).toBeLessThan(LONGEST_MEAN_MILLISECONDS);
  // The log recognises only repeats of the last five appends.
  expect(maximumConcurrent).toBeLessThanOrEqual(4);
  host.kill();
});
