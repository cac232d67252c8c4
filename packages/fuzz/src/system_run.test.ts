import fc from 'fast-check';
import {describe, expect, it} from 'vitest';
import {systemOperation} from './system_operation.js';
import {SystemRun} from './system_run.js';

const SEED = 20_261_204;
const RUNS = 20;
const MAXIMUM_OPERATIONS = 40;

describe('whole system over in-memory fakes', () => {
  // Guards against a system that never becomes ready, which would make every
  // other run pass without checking anything.
  it('answers a request of each kind when nothing fails', async () => {
    const run = await SystemRun.create(1);
    await run.run([
      {
        type: 'submit',
        host: 0,
        kind: 'interactive',
        isIdempotent: true,
        keyNumber: undefined,
        taskCount: 2,
        size: 1,
        runMilliseconds: 10,
        deadlineMilliseconds: 30_000,
      },
    ]);
    expect(run.outcomes()).toEqual({ran: 1});
  });

  // Checks all guarantees under random interleavings of requests and faults.
  it('keeps its guarantees under random faults', async () => {
    await fc.assert(
      fc.asyncProperty(
        fc.nat({max: 1_000}),
        fc.array(systemOperation, {maxLength: MAXIMUM_OPERATIONS}),
        async (seed, operations) => {
          const run = await SystemRun.create(seed);
          await run.run(operations);
        },
      ),
      {seed: SEED, numRuns: RUNS},
    );
  });

  // Guards against faults that these seeds once exposed. The commits that fixed
  // them describe each fault.
  it.each([0, 13, 15, 29, 70, 110, 127, 209, 273, 277, 430, 675])(
    'keeps its guarantees in run %i, which once failed',
    async seed => {
      const [operations = []] = fc.sample(
        fc.array(systemOperation, {
          minLength: 10,
          maxLength: MAXIMUM_OPERATIONS,
          size: 'max',
        }),
        {seed, numRuns: 1},
      );
      const run = await SystemRun.create(seed);
      await run.run(operations);
    },
  );
});
