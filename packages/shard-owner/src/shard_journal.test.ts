import type {ShardRecord} from '@cardamomfield/cell-model';
import {ManualClock} from '@cardamomfield/clock';
import {InvalidInputError, type TypedError} from '@cardamomfield/errors';
import {SilentLogger} from '@cardamomfield/logger';
import {MemoryMetrics} from '@cardamomfield/metrics';
import {type Either, Left, Right} from 'purify-ts';
import {expect, it} from 'vitest';
import {ShardJournal} from './shard_journal.js';

const LIMITS = {recordBytes: 40_000, requestBytes: 100_000};

/** Appends the values of all keys and returns the records of each call. */
async function append(
  values: ReadonlyMap<string, string>,
  answer: (records: ShardRecord[]) => Either<TypedError, void>,
) {
  const clock = ManualClock.create();
  const calls: ShardRecord[][] = [];
  const replaced: string[] = [];
  const journal = ShardJournal.create({
    log: {
      append: async records => {
        calls.push([...records]);
        return answer(records);
      },
      confirmEpoch: async () => Right(undefined),
      readNewest: async () => Right([]),
    },
    clock,
    logger: SilentLogger.create(),
    metrics: MemoryMetrics.create(),
    epoch: 1,
    nextSequence: 1,
    provedAt: clock.monotonicNow(),
    encode: key => values.get(key) ?? '',
    limits: LIMITS,
    replace: key => {
      replaced.push(key);
      return {key: `e/${key}`, value: 'ended'};
    },
    onLost: () => {},
  });
  for (const key of values.keys()) journal.mark(key);
  const committed = journal.commit();
  void journal.run();
  await clock.advance(2_000);
  journal.stop();
  return {calls, replaced, isDurable: (await committed).isRight()};
}

// Guards against appends that are larger than the log accepts because their
// size is counted in characters: one of them may take three bytes.
it('splits appends by their size in bytes', async () => {
  const value = '\u20ac'.repeat(12_000);
  const values = new Map(['a', 'b', 'c'].map(key => [key, value]));
  const {calls, isDurable} = await append(values, () => Right(undefined));
  const sizes = calls.map(records =>
    records.reduce((sum, each) => sum + Buffer.byteLength(each.value), 0),
  );
  expect(Math.max(...sizes)).toBeLessThan(LIMITS.requestBytes);
  expect(calls.flat().map(({key}) => key)).toEqual(['a', 'b', 'c']);
  expect(isDurable).toBe(true);
});

// Guards against a record that the log can never take: with it, no other would
// become durable.
it('replaces a record that is too large', async () => {
  const values = new Map([
    ['a', 'x'],
    ['b', 'x'.repeat(LIMITS.recordBytes)],
  ]);
  const {calls, replaced, isDurable} = await append(values, () =>
    Right(undefined),
  );
  expect(replaced).toEqual(['b']);
  expect(calls[0]?.map(({key}) => key)).toEqual(['a', 'e/b']);
  expect(isDurable).toBe(true);
});

// Guards against an append that is repeated without end because its refusal is
// taken for an outage.
it('replaces the largest record of an append that is refused', async () => {
  const values = new Map([
    ['a', 'x'],
    ['b', 'x'.repeat(30_000)],
  ]);
  const {calls, replaced, isDurable} = await append(values, records =>
    records.some(({value}) => value.length > 20_000)
      ? Left(InvalidInputError.create('too large'))
      : Right(undefined),
  );
  expect(replaced).toEqual(['b']);
  expect(calls.at(-1)?.map(({key}) => key)).toEqual(['a', 'e/b']);
  expect(isDurable).toBe(true);
});

// Guards against work that is given up because the log refuses everything.
it('replaces no small record of an append that is refused', async () => {
  const values = new Map([['a', 'x'.repeat(1_000)]]);
  const {replaced, isDurable} = await append(values, () =>
    Left(InvalidInputError.create('not understood')),
  );
  expect(replaced).toEqual([]);
  expect(isDurable).toBe(false);
});
