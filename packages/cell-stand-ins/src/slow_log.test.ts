import type {ShardLog} from '@cardamomfield/cell-model';
import {expect, it} from 'vitest';
import {CellRig} from './cell_rig.js';
import {createSubmission} from './plain_submission.js';

const ANSWER_MILLISECONDS = 200;
const SUBMISSIONS = 40;
const PAUSE_MILLISECONDS = 35;

/**
 * Accepting one change takes at least one answer; with one append at a time it
 * takes one and a half on average.
 */
const LONGEST_MEAN_MILLISECONDS = ANSWER_MILLISECONDS * 1.3;

/** Counts the appends that are under way at once. */
function watchAppends(log: ShardLog, onCount: (count: number) => void) {
  let count = 0;
  const watched: ShardLog = {
    readNewest: () => log.readNewest(),
    confirmEpoch: epoch => log.confirmEpoch(epoch),
    append: async (records, epoch, sequence) => {
      onCount(++count);
      const result = await log.append(records, epoch, sequence);
      count--;
      return result;
    },
  };
  return watched;
}

// Load: a burst of submissions while the store answers fifty times slower than
// usual. Guards against a queue of changes behind one append at a time.
it('sends changes beside a slow append', async () => {
  let most = 0;
  const rig = CellRig.create({
    seed: 11,
    workerIds: [],
    weakness: {
      wrapLog: log =>
        watchAppends(log, count => {
          most = Math.max(most, count);
        }),
    },
  });
  const {base} = rig;
  const host = rig.addHost('host');
  void host.claim(0);
  await base.advance(2_300);
  host.log.answerMilliseconds = ANSWER_MILLISECONDS;
  await base.advance(2_000);
  const {queue, specification} = createSubmission(1);
  const waits: number[] = [];
  for (let index = 0; index < SUBMISSIONS; index++) {
    const id = index.toString(16).padStart(16, '0');
    const sentAt = base.monotonicNow();
    void host.owner?.submit(id, queue, specification).then(outcome => {
      if (outcome.isRight()) waits.push(base.monotonicNow() - sentAt);
    });
    await base.advance(PAUSE_MILLISECONDS);
  }
  await base.advance(2_000);
  expect(waits).toHaveLength(SUBMISSIONS);
  const mean = waits.reduce((sum, wait) => sum + wait, 0) / SUBMISSIONS;
  expect(mean).toBeLessThan(LONGEST_MEAN_MILLISECONDS);
  // The log recognises repeats of the last five appends only.
  expect(most).toBeLessThanOrEqual(4);
  host.kill();
});
