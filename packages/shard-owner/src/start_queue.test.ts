import type {Run} from '@cardamomfield/cell-scheduler';
import {expect, it} from 'vitest';
import {StartQueue} from './start_queue.js';

const RUN_COUNT = 25_000;
const WORKER_COUNT = 8;

/** Most orders that a worker answers within the time limit of an order. */
const MOST_ORDERS_PER_WORKER = 60;

// Guards against an owner that orders the starts of a large step all at once:
// it blocks its event loop and runs out of memory, and orders time out before
// they are sent.
it('sends the starts of a large step a limited number at a time', async () => {
  let active = 0;
  let mostActive = 0;
  let started = 0;
  let roomCount = 0;
  const queue = StartQueue.create({
    start: async () => {
      mostActive = Math.max(mostActive, ++active);
      await Promise.resolve();
      active--;
      started++;
    },
    onRoom: () => roomCount++,
  });
  const initialRoom = queue.room;
  expect(initialRoom).toBeLessThan(RUN_COUNT);
  queue.open(RUN_COUNT);
  expect(queue.room).toBe(0);
  queue.send(
    Array.from(
      {length: RUN_COUNT},
      (_, index) => ({workerId: `w-${index % WORKER_COUNT}`}) as Run,
    ),
  );
  while (started < RUN_COUNT) await new Promise(setImmediate);
  await new Promise(setImmediate);
  expect(mostActive).toBeLessThan(MOST_ORDERS_PER_WORKER * WORKER_COUNT);
  expect(queue.room).toBe(initialRoom);
  expect(roomCount).toBe(1);
});
