import {ManualClock} from '@cardamomfield/clock';
import {SilentLogger} from '@cardamomfield/logger';
import {MemoryMetrics} from '@cardamomfield/metrics';
import {Right} from 'purify-ts';
import {expect, it} from 'vitest';
import {ShardJournal} from './shard_journal.js';

/** The owner waits this long between passes that take long. */
const PASS_DELAY_MILLISECONDS = 100;

/** Work that is done between two passes, as the answers of workers. */
const OTHER_WORK_MILLISECONDS = 1;

const PASSES = 20;

/**
 * Counts pauses while scheduling passes block the event loop. What is due
 * during a pass runs right after it, as with the timers of a real process.
 */
async function countPauses(passMilliseconds: number): Promise<number> {
  const clock = ManualClock.create();
  const blockFor = (milliseconds: number) =>
    Reflect.set(clock, 'now', clock.monotonicNow() + milliseconds);
  const journal = ShardJournal.create({
    log: {
      append: async () => Right(undefined),
      confirmEpoch: async () => Right(undefined),
      readNewest: async () => Right([]),
    },
    clock,
    logger: SilentLogger.create(),
    metrics: MemoryMetrics.create(),
    epoch: 1,
    nextSequence: 1,
    provedAt: clock.monotonicNow(),
    encode: () => '',
    limits: {recordBytes: 262_144, requestBytes: 2_097_152},
    replace: key => ({key, value: ''}),
    onLost: () => {},
  });
  let passes = 0;
  const schedule = async () => {
    while (passes < PASSES) {
      await clock.sleepUntil(clock.monotonicNow() + PASS_DELAY_MILLISECONDS);
      blockFor(passMilliseconds + OTHER_WORK_MILLISECONDS);
      passes++;
    }
  };
  void schedule();
  void journal.run();
  while (passes < PASSES) await clock.advance(PASS_DELAY_MILLISECONDS);
  const {pauseCount} = journal;
  journal.stop();
  return pauseCount;
}

it('counts no pause over passes of 170 ms', async () => {
  expect(await countPauses(170)).toBe(0);
});

// Guards against an owner that starts nothing while it is busy: a pause makes
// every worker wait for a new poll before its next start.
it('counts no pause over passes of 300 ms', async () => {
  expect(await countPauses(300)).toBe(0);
});
