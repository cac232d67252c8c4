import type {ShardRecord} from '@cardamomfield/cell-model';
import {ManualClock} from '@cardamomfield/clock';
import {
  ConflictError,
  InvalidInputError,
  type TypedError,
  UnavailableError,
  UncertainError,
} from '@cardamomfield/errors';
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

/** A journal whose calls of the log end only when the test settles them. */
function createJournal({
  requestBytes = LIMITS.requestBytes,
  value = 'value',
} = {}) {
  const clock = ManualClock.create();
  const calls: Array<{
    kind: 'append' | 'proof';
    records: ShardRecord[];
    settle: (result: Either<TypedError, void>) => void;
  }> = [];
  const call = (kind: 'append' | 'proof', records: ShardRecord[] = []) =>
    new Promise<Either<TypedError, void>>(settle =>
      calls.push({kind, records, settle}),
    );
  const journal = ShardJournal.create({
    log: {
      append: records => call('append', records),
      confirmEpoch: () => call('proof'),
      readNewest: async () => Right([]),
    },
    clock,
    logger: SilentLogger.create(),
    metrics: MemoryMetrics.create(),
    epoch: 1,
    nextSequence: 1,
    provedAt: clock.monotonicNow(),
    encode: () => value,
    limits: {...LIMITS, requestBytes},
    replace: key => ({key, value: ''}),
    onLost: () => {},
  });
  void journal.run();
  /** Whether a result of the journal is there yet, and which. */
  const watch = (result: Promise<Either<TypedError, void>>) => {
    const watched = {outcome: 'open'};
    void result.then(each => {
      watched.outcome = each.isRight() ? 'proved' : 'lost';
    });
    return watched;
  };
  return {clock, calls, journal, watch};
}

// Guards against answers of a former owner: a call that was in flight when the
// request arrived may have been carried out before another host claimed the
// shard.
it('takes only calls sent after the request as a proof', async () => {
  const {clock, calls, journal, watch} = createJournal();
  journal.mark('a');
  await clock.advance(1);
  const committed = watch(journal.commit());
  const proved = watch(journal.prove());
  await clock.advance(1);
  // The append in flight is needed first, so that no other call is sent.
  expect(calls.map(({kind}) => kind)).toEqual(['append']);
  calls[0]?.settle(Right(undefined));
  await clock.advance(1);
  expect(calls.map(({kind}) => kind)).toEqual(['append', 'proof']);
  expect([committed.outcome, proved.outcome]).toEqual(['proved', 'open']);
  calls[1]?.settle(Right(undefined));
  await clock.advance(1);
  expect(proved.outcome).toBe('proved');
  journal.stop();
});

// Guards against calls of the log that a busy owner makes for reads alone: they
// take processor time from the work that waits.
it('proves the epoch by its appends while it has changes to append', async () => {
  const {clock, calls, journal, watch} = createJournal();
  const reads: Array<{outcome: string}> = [];
  for (let round = 0; round < 20; round++) {
    journal.mark('a');
    await clock.advance(1);
    reads.push(watch(journal.prove()));
    // Changes arrive while the append is in flight.
    journal.mark('b');
    await clock.advance(30);
    calls.at(-1)?.settle(Right(undefined));
    await clock.advance(1);
  }
  expect(calls.filter(({kind}) => kind === 'proof')).toEqual([]);
  calls.at(-1)?.settle(Right(undefined));
  await clock.advance(1);
  calls.at(-1)?.settle(Right(undefined));
  await clock.advance(1);
  expect(new Set(reads.map(({outcome}) => outcome))).toEqual(
    new Set(['proved']),
  );
  journal.stop();
});

// Guards against answers that rest on changes which the log does not hold yet.
it('proves the epoch by the append of the changes that a request rests on', async () => {
  const {clock, calls, journal, watch} = createJournal();
  journal.mark('a');
  const proved = watch(journal.prove());
  await clock.advance(1);
  expect(calls.map(({kind}) => kind)).toEqual(['append']);
  expect(proved.outcome).toBe('open');
  calls[0]?.settle(Right(undefined));
  await clock.advance(1);
  expect(proved.outcome).toBe('proved');
  journal.stop();
});

// Guards against a number of calls of the log that grows with that of requests.
it('shares one proof among the requests that wait for it', async () => {
  const {clock, calls, journal, watch} = createJournal();
  const first = watch(journal.prove());
  await clock.advance(1);
  const later = Array.from({length: 50}, () => watch(journal.prove()));
  await clock.advance(1);
  calls[0]?.settle(Right(undefined));
  await clock.advance(1);
  expect(first.outcome).toBe('proved');
  expect(new Set(later.map(({outcome}) => outcome))).toEqual(new Set(['open']));
  await clock.advance(100);
  expect(calls).toHaveLength(2);
  calls[1]?.settle(Right(undefined));
  await clock.advance(1);
  expect(new Set(later.map(({outcome}) => outcome))).toEqual(
    new Set(['proved']),
  );
  journal.stop();
});

// Guards against requests that wait although another host owns the shard.
it('fails the requests that wait for a proof once the shard is lost', async () => {
  const {clock, calls, journal, watch} = createJournal();
  const proved = watch(journal.prove());
  await clock.advance(1);
  calls[0]?.settle(Left(ConflictError.create('fenced')));
  await clock.advance(1);
  expect(proved.outcome).toBe('lost');
  expect(watch(journal.prove()).outcome).toBe('open');
  await clock.advance(1);
});

// Guards against requests that no call serves after the one that they shared
// has failed.
it('proves the epoch again after a failed proof', async () => {
  const {clock, calls, journal, watch} = createJournal();
  const proved = watch(journal.prove());
  await clock.advance(1);
  calls[0]?.settle(Left(UnavailableError.create('busy')));
  await clock.advance(200);
  expect(calls.length).toBeGreaterThan(1);
  expect(proved.outcome).toBe('open');
  for (const call of calls) call.settle(Right(undefined));
  await clock.advance(1);
  expect(proved.outcome).toBe('proved');
  journal.stop();
});

// Guards against a submission that runs again once the record of its ending is
// deleted: its own record was sent, and the removal that was to follow was
// taken back.
it('withdraws no change of a key that an append in flight holds', async () => {
  const {clock, calls, journal} = createJournal();
  journal.mark('a');
  await clock.advance(1);
  expect(calls).toHaveLength(1);
  journal.mark('a');
  expect(journal.withdraw('a')).toBe(false);
  calls[0]?.settle(Right(undefined));
  await clock.advance(1);
  expect(calls).toHaveLength(2);
  journal.stop();
});

// Guards against an owner that starts runs on a proof of the past: the log may
// answer a repeated append as it answered the first sending, also after another
// host has claimed the shard.
it('takes the first sending of a repeated append as the time of its proof', async () => {
  const {clock, calls, journal} = createJournal();
  journal.mark('a');
  await clock.advance(1);
  // The store has applied it; its answer is lost.
  calls[0]?.settle(Left(UncertainError.create('no answer')));
  // The owner does not reach the store; another host claims the shard.
  for (let round = 0; round < 10; round++) {
    await clock.advance(500);
    calls.at(-1)?.settle(Left(UncertainError.create('no answer')));
  }
  await clock.advance(100);
  expect(journal.hasAuthority()).toBe(false);
  // The store answers the repeat as it answered the append.
  calls.at(-1)?.settle(Right(undefined));
  await clock.advance(1);
  expect(journal.proofAgeMilliseconds).toBeGreaterThan(3_000);
  expect(journal.hasAuthority()).toBe(false);
  // The next call shows it, up to a second later.
  await clock.advance(1_000);
  expect(calls.at(-1)?.kind).toBe('proof');
  calls.at(-1)?.settle(Left(ConflictError.create('fenced')));
  await clock.advance(1);
});

// Guards against a submission that is refused and runs all the same: a part of
// its batch is durable, and the removal of its record was taken back.
it('withdraws no key whose earlier value has been appended with a part of its batch', async () => {
  const {clock, calls, journal} = createJournal({
    requestBytes: 100,
    value: 'v'.repeat(30),
  });
  journal.mark('a');
  journal.mark('b');
  let isCommitted = false;
  void journal.commit().then(() => {
    isCommitted = true;
  });
  await clock.advance(1);
  expect(calls.map(({records}) => records.map(({key}) => key))).toEqual([
    ['a'],
    ['b'],
  ]);
  calls[0]?.settle(Right(undefined));
  await clock.advance(1);
  expect(isCommitted).toBe(false);
  // `a` is durable, its commit is open, and its removal is marked.
  journal.mark('a');
  expect(journal.withdraw('a')).toBe(false);
  journal.stop();
});

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
