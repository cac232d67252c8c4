import {ManualClock} from '@cardamomfield/clock';
import {UnavailableError} from '@cardamomfield/errors';
import {Left, Right} from 'purify-ts';
import {describe, expect, it} from 'vitest';
import {PendingCounts} from './pending_counts.js';

/** Callers accept a count of this age. */
const ALLOWED_AGE_MILLISECONDS = 2_000;

const CALLS_A_SECOND = 50;
const SECONDS = 10;

describe('PendingCounts', () => {
  // Load: 50 callers a second ask one host for the same number. Guards against
  // an owner that answers each of them, on every host.
  it('asks the owner about once a second, and never tells an old count', async () => {
    const clock = ManualClock.create();
    const counts = PendingCounts.create(clock);
    let asked = 0;
    let oldest = 0;
    for (let call = 0; call < CALLS_A_SECOND * SECONDS; call++) {
      const answer = await counts.get('queue', async () => {
        asked++;
        return Right({count: clock.monotonicNow()});
      });
      const {count: takenAt} = answer.unsafeCoerce();
      oldest = Math.max(oldest, clock.monotonicNow() - takenAt);
      await clock.advance(1_000 / CALLS_A_SECOND);
    }
    expect(asked).toBeLessThanOrEqual(2 * SECONDS);
    expect(oldest).toBeLessThan(ALLOWED_AGE_MILLISECONDS);
  });

  // Guards against one failure that is told to all callers of a second.
  it('asks again after a failure', async () => {
    const counts = PendingCounts.create(ManualClock.create());
    const failed = await counts.get('queue', async () =>
      Left(UnavailableError.create('no owner')),
    );
    expect(failed.isLeft()).toBe(true);
    const answered = await counts.get('queue', async () => Right({count: 3}));
    expect(answered.unsafeCoerce().count).toBe(3);
  });
});
