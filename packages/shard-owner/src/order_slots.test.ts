import {expect, it} from 'vitest';
import {OrderSlots} from './order_slots.js';

const MAXIMUM_ACTIVE = 3;
const ORDER_COUNT = 20;

// Guards against orders that are sent all at once and time out while they wait
// for a connection.
it('sends a limited number of orders at a time, in order', async () => {
  const slots = OrderSlots.create(MAXIMUM_ACTIVE);
  const sent: number[] = [];
  let active = 0;
  let mostActive = 0;
  await Promise.all(
    Array.from({length: ORDER_COUNT}, (_, index) =>
      slots.run(async () => {
        sent.push(index);
        mostActive = Math.max(mostActive, ++active);
        await new Promise(setImmediate);
        active--;
      }),
    ),
  );
  expect(mostActive).toBe(MAXIMUM_ACTIVE);
  expect(sent).toEqual(Array.from({length: ORDER_COUNT}, (_, index) => index));
});

it('goes on after an order that fails', async () => {
  const slots = OrderSlots.create(1);
  const failed = slots.run(() => Promise.reject(new Error('failed')));
  const next = slots.run(async () => 'sent');
  await expect(failed).rejects.toThrow('failed');
  await expect(next).resolves.toBe('sent');
});
