import {ManualClock} from '@cardamomfield/clock';
import {describe, expect, it} from 'vitest';
import {compareHybridTime} from './compare_hybrid_time.js';
import {Timeline} from './timeline.js';

describe('Timeline', () => {
  // Guards against an effect that sorts before its cause when the receiver's
  // wall clock is behind the sender's.
  it('orders the receipt of a message after its sending', () => {
    const fast = Timeline.create({
      process: 'fast',
      clock: ManualClock.create(2_000),
    });
    const slow = Timeline.create({
      process: 'slow',
      clock: ManualClock.create(1_000),
    });
    fast.record('sent');
    slow.observe(fast.now());
    slow.record('received');
    const sent = fast.events()[0]!;
    const received = slow.events()[0]!;
    expect(compareHybridTime(sent.time, received.time)).toBeLessThan(0);
  });

  // Guards against unbounded memory in a daemon that runs for months.
  it('drops the oldest events beyond its capacity', () => {
    const timeline = Timeline.create({
      process: 'one',
      clock: ManualClock.create(),
      capacity: 2,
    });
    timeline.record('first');
    timeline.record('second');
    timeline.record('third');
    expect(timeline.events().map(event => event.kind)).toEqual([
      'second',
      'third',
    ]);
  });
});
