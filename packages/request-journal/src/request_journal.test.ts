import {ManualClock, SeededRandomSource} from '@cardamomfield/clock';
import {
  InvalidInputError,
  NotFoundError,
  type TypedError,
  UnavailableError,
  UncertainError,
} from '@cardamomfield/errors';
import {SilentLogger} from '@cardamomfield/logger';
import {MemoryMetrics} from '@cardamomfield/metrics';
import {LogService, MemoryPlatformLog} from '@cardamomfield/platform-stand-ins';
import type {FinalAnswer} from '@cardamomfield/types';
import fc from 'fast-check';
import type {Either} from 'purify-ts';
import {describe, expect, it} from 'vitest';
import {RequestJournal} from './request_journal.js';

type Settings = Parameters<typeof RequestJournal.create>[0]['settings'];
type Intent = Parameters<RequestJournal['recordIntent']>[0];

/** Call timeouts shorter than, close to and longer than an append's limit. */
const CALL_MILLISECONDS = [1_000, 4_000, 20_000];

/** A log and the journals of several processes that share one clock. */
class Fixture {
  readonly clock = ManualClock.create();
  readonly service: LogService;
  private count = 0;

  constructor(settings: Partial<Parameters<typeof LogService.create>[0]> = {}) {
    this.service = LogService.create({clock: this.clock, ...settings});
  }

  async start(settings: Settings = {}) {
    this.count += 1;
    const {clock, service} = this;
    const log = MemoryPlatformLog.create({clock, service});
    const metrics = MemoryMetrics.create();
    const journal = RequestJournal.create({
      log,
      clock,
      random: SeededRandomSource.create(this.count),
      logger: SilentLogger.create(),
      metrics,
      writer: `host-${this.count}`,
      settings,
    });
    const stopping = new AbortController();
    const running = journal.run(stopping.signal);
    await clock.advance(0);
    const stop = () => stopping.abort();
    return {journal, log, metrics, stop, running};
  }

  createIntent(key: string, bodyHash = 'hash', milliseconds = 60_000): Intent {
    const deadline = this.clock.wallNow() + milliseconds;
    return {key, bodyHash, coordinator: 'c', incarnation: 'i', deadline};
  }

  /** Advances the clock until the promise is settled. */
  async advanceUntilSettled<Value>(promise: Promise<Value>): Promise<Value> {
    let isDone = false;
    void promise.then(() => (isDone = true));
    await this.clock.advance(0);
    while (!isDone) await this.clock.advance(10);
    return promise;
  }

  recordIntent(journal: RequestJournal, intent: Intent, milliseconds = 10_000) {
    const deadline = this.clock.monotonicNow() + milliseconds;
    return this.advanceUntilSettled(journal.recordIntent(intent, deadline));
  }

  recordOutcome(journal: RequestJournal, answer: FinalAnswer) {
    const deadline = this.clock.monotonicNow() + 10_000;
    return this.advanceUntilSettled(journal.recordOutcome(answer, deadline));
  }
}

function ranAnswer(key: string, value: string): FinalAnswer {
  const result = {index: 0, succeeded: true, worker: 'w', value};
  return {outcome: 'ran', key, results: [result], notRun: []};
}

function unknownAnswer(key: string): FinalAnswer {
  return {outcome: 'unknown', key, reason: {code: 'uncertain', message: '?'}};
}

describe('RequestJournal', () => {
  // Guards against two coordinators that both start the same request.
  it('returns the same winner in all processes', async () => {
    const fixture = new Fixture();
    const hosts = [await fixture.start(), await fixture.start()];
    const deadline = fixture.clock.monotonicNow() + 5_000;
    const results = await fixture.advanceUntilSettled(
      Promise.all(
        hosts.map(({journal}, host) =>
          journal.recordIntent(
            fixture.createIntent('k', `body-${host}`),
            deadline,
          ),
        ),
      ),
    );
    const found = results.map(result => result.unsafeCoerce());
    expect(found.map(result => result.isFirst).sort()).toEqual([false, true]);
    expect(found[0]!.entry).toEqual(found[1]!.entry);
    const third = await fixture.start();
    const late = await fixture.recordIntent(
      third.journal,
      fixture.createIntent('k'),
    );
    expect(late.unsafeCoerce()).toEqual({
      isFirst: false,
      entry: found[0]!.entry,
    });
    expect(third.journal.find('k')).toMatchObject({
      coordinator: 'c',
      incarnation: 'i',
      deadline: fixture.clock.wallNow() + 60_000,
    });
  });

  // Guards against starting a request twice after the log's answer to the
  // append of its intent was lost.
  it('resolves an intent whose append answer was lost', async () => {
    const fixture = new Fixture();
    const {journal} = await fixture.start();
    fixture.service.faults.set({loseAnswers: 1});
    const result = await fixture.recordIntent(
      journal,
      fixture.createIntent('k'),
    );
    expect(result.unsafeCoerce().isFirst).toBe(true);
    expect(fixture.service.appends()).toBe(1);
  });

  // Guards against requests that wait for a log that is known to be down, and
  // against a wrong `not-run`: a refused intent must not appear on the log.
  it('refuses immediately while the log is down', async () => {
    const fixture = new Fixture();
    const {journal} = await fixture.start();
    fixture.service.faults.set({silent: true});
    await fixture.clock.advance(10_000);
    const before = fixture.clock.monotonicNow();
    const result = await fixture.recordIntent(
      journal,
      fixture.createIntent('k'),
    );
    expect(result.swap().extract()).toBeInstanceOf(UnavailableError);
    expect(fixture.clock.monotonicNow()).toBe(before);
    fixture.service.faults.clear();
    await fixture.clock.advance(5_000);
    const retried = await fixture.recordIntent(
      journal,
      fixture.createIntent('k'),
    );
    expect(retried.unsafeCoerce().isFirst).toBe(true);
  });

  // Guards against a coordinator that waits longer than its caller. An intent
  // that was already sent may still take effect, so its result is uncertain.
  it('ends at the call deadline and is uncertain only if sent', async () => {
    const fixture = new Fixture();
    const {journal, log} = await fixture.start();
    log.faults.set({holdWrites: true});
    const deadline = fixture.clock.monotonicNow() + 100;
    const sent = journal.recordIntent(fixture.createIntent('sent'), deadline);
    await fixture.clock.advance(1);
    const queued = journal.recordIntent(
      fixture.createIntent('queued'),
      deadline,
    );
    await fixture.clock.advance(99);
    expect((await sent).swap().extract()).toBeInstanceOf(UncertainError);
    expect((await queued).swap().extract()).toBeInstanceOf(UnavailableError);
    log.faults.clear();
    await fixture.clock.advance(1_000);
    expect(journal.find('sent')).toBeDefined();
    expect(journal.find('queued')).toBeUndefined();
  });

  // Guards against a `not-run` for a request whose intent is on the log. The
  // append succeeds, but its answer is lost and the log can't be read.
  it('stays uncertain while the log cannot be read', async () => {
    const fixture = new Fixture();
    const {journal, log} = await fixture.start();
    log.faults.set({loseAnswers: 1, answerDelayMilliseconds: 1});
    const result = fixture.recordIntent(
      journal,
      fixture.createIntent('k'),
      20_000,
    );
    await fixture.clock.advance(0);
    log.faults.set({silent: true});
    expect((await result).swap().extract()).toBeInstanceOf(UncertainError);
    log.faults.clear();
    await fixture.clock.advance(5_000);
    expect(journal.find('k')).toBeDefined();
  });

  // Guards against one append per request, and against a process that exceeds
  // its share of the log's append rate.
  it('groups items that arrive meanwhile and keeps its append rate', async () => {
    const fixture = new Fixture();
    const {journal} = await fixture.start();
    const results: Array<Promise<Either<TypedError, unknown>>> = [];
    for (let instant = 0; instant < 2_000; instant += 2) {
      const deadline = fixture.clock.monotonicNow() + 5_000;
      const intent = fixture.createIntent(`k-${instant}`);
      results.push(journal.recordIntent(intent, deadline));
      await fixture.clock.advance(2);
    }
    await fixture.clock.advance(100);
    expect(fixture.service.appends()).toBeLessThanOrEqual(42);
    for (const result of results) expect((await result).isRight()).toBe(true);
  });

  // Guards against batches that the log refuses because of their size.
  it('limits the number of items and the length of a batch', async () => {
    const fixture = new Fixture();
    const first = await fixture.start({recordsPerAppend: 10});
    const second = await fixture.start({charactersPerAppend: 500});
    for (const [{journal}, name] of [
      [first, 'a'],
      [second, 'b'],
    ] as const) {
      const before = fixture.service.appends();
      const deadline = fixture.clock.monotonicNow() + 5_000;
      const results = Array.from({length: 41}, (_, index) =>
        journal.recordIntent(
          fixture.createIntent(`${name}${index}`, 'h'.repeat(97)),
          deadline,
        ),
      );
      await fixture.advanceUntilSettled(Promise.all(results));
      const appends = fixture.service.appends() - before;
      expect(appends).toBeGreaterThanOrEqual(5);
      expect(appends).toBeLessThanOrEqual(12);
    }
  });

  // Guards against an answer that changes, and against an `unknown` that hides
  // a later result permanently.
  it('keeps the first answer that is not unknown', async () => {
    const fixture = new Fixture();
    const hosts = [await fixture.start(), await fixture.start()];
    const [first, second] = hosts.map(host => host.journal);
    const missing = await fixture.recordOutcome(first!, unknownAnswer('k'));
    expect(missing.swap().extract()).toBeInstanceOf(NotFoundError);
    await fixture.recordIntent(first!, fixture.createIntent('k'));
    for (const [answer, standing] of [
      [unknownAnswer('k'), unknownAnswer('k')],
      [ranAnswer('k', 'one'), ranAnswer('k', 'one')],
      [ranAnswer('k', 'two'), ranAnswer('k', 'one')],
      [unknownAnswer('k'), ranAnswer('k', 'one')],
    ] as const) {
      const result = await fixture.recordOutcome(first!, answer);
      expect(result.extract()).toEqual(standing);
    }
    expect(second!.find('k')!.answer).toEqual(ranAnswer('k', 'one'));
    const deadline = fixture.clock.monotonicNow() + 10_000;
    await fixture.recordIntent(first!, fixture.createIntent('l'));
    const racing = await fixture.advanceUntilSettled(
      Promise.all([
        first!.recordOutcome(ranAnswer('l', 'one'), deadline),
        second!.recordOutcome(ranAnswer('l', 'two'), deadline),
      ]),
    );
    expect(racing[0].extract()).toEqual(racing[1].extract());
  });

  // Guards against an entry that expires before its request's deadline, and
  // against processes that remove it at different offsets.
  it('expires entries only by the instants of the records', async () => {
    const settings = {expiryMilliseconds: 10_000};
    const fixture = new Fixture();
    const early = await fixture.start(settings);
    const tooFar = fixture.createIntent('k', 'h', 10_000);
    const refused = await fixture.recordIntent(early.journal, tooFar);
    expect(refused.swap().extract()).toBeInstanceOf(InvalidInputError);
    await fixture.recordIntent(
      early.journal,
      fixture.createIntent('k', 'old', 5_000),
    );
    await fixture.clock.advance(9_000);
    await fixture.recordIntent(
      early.journal,
      fixture.createIntent('a', 'h', 5_000),
    );
    expect(early.journal.find('k')).toBeDefined();
    // Time without new records changes nothing: a state depends only on its
    // offset.
    await fixture.clock.advance(5_000);
    const late = await fixture.start(settings);
    expect([...late.journal.entries()]).toEqual([...early.journal.entries()]);
    expect(early.journal.find('k')).toBeDefined();
    await fixture.recordIntent(
      early.journal,
      fixture.createIntent('b', 'h', 5_000),
    );
    expect(early.journal.find('k')).toBeUndefined();
    const again = fixture.createIntent('k', 'new', 5_000);
    const result = await fixture.recordIntent(late.journal, again);
    expect(result.unsafeCoerce().isFirst).toBe(true);
    expect([...late.journal.entries()]).toEqual([...early.journal.entries()]);
  });

  // Guards against losing winners when the log trims old records.
  it('keeps its entries when the log is trimmed', async () => {
    const fixture = new Fixture({retentionRecords: 30});
    const settings = {follower: {snapshotAfterRecords: 10}};
    const host = await fixture.start(settings);
    for (let index = 0; index < 100; index += 1) {
      await fixture.recordIntent(
        host.journal,
        fixture.createIntent(`k${index}`),
      );
      await fixture.clock.advance(50);
    }
    const late = await fixture.start(settings);
    await fixture.clock.advance(10);
    expect([...late.journal.entries()]).toHaveLength(100);
    expect([...late.journal.entries()]).toEqual([...host.journal.entries()]);
  });

  // Guards, under random faults and restarts, against a second winner for a
  // key, against processes that return different winners, and against an
  // intent that wins after it was reported to have no effect.
  it('agrees on one winner for each key under random faults', async () => {
    const host = fc.nat(2);
    const key = fc.constantFrom('a', 'b', 'c');
    const flag = fc.boolean();
    const step = fc.oneof(
      {weight: 8, arbitrary: fc.record({host, intent: key})},
      {weight: 2, arbitrary: fc.record({host, outcome: key})},
      {
        weight: 5,
        arbitrary: fc.record({pass: fc.integer({min: 1, max: 2_000})}),
      },
      {weight: 1, arbitrary: fc.record({at: fc.nat(3), outage: flag})},
      {weight: 1, arbitrary: fc.record({at: fc.nat(3), silent: flag})},
      {weight: 1, arbitrary: fc.record({at: fc.nat(2), holdWrites: flag})},
      {
        weight: 2,
        arbitrary: fc.record({at: fc.nat(3), loseAnswers: fc.nat(2)}),
      },
      {weight: 1, arbitrary: fc.record({restart: host})},
    );
    const steps = fc.array(step, {minLength: 10, maxLength: 50});
    await fc.assert(
      fc.asyncProperty(steps, async chosen => {
        const fixture = new Fixture();
        const hosts: Array<Awaited<ReturnType<Fixture['start']>>> = [];
        for (let count = 0; count < 3; count += 1) {
          hosts.push(await fixture.start());
        }
        const faultsAt = (at: number) =>
          (hosts[at]?.log ?? fixture.service).faults;
        const calls: Array<{
          intent: Intent;
          result: ReturnType<RequestJournal['recordIntent']>;
        }> = [];
        for (const [number, entry] of chosen.entries()) {
          const now = fixture.clock.monotonicNow();
          const deadline = now + CALL_MILLISECONDS[number % 3]!;
          if ('intent' in entry) {
            const intent = fixture.createIntent(entry.intent, `${number}`);
            const {journal} = hosts[entry.host]!;
            const result = journal.recordIntent(intent, deadline);
            calls.push({intent, result});
          } else if ('outcome' in entry) {
            const answer = ranAnswer(entry.outcome, `${number}`);
            void hosts[entry.host]!.journal.recordOutcome(answer, deadline);
          } else if ('pass' in entry) {
            await fixture.clock.advance(entry.pass);
          } else if ('restart' in entry) {
            hosts[entry.restart]!.stop();
            hosts[entry.restart] = await fixture.start();
          } else {
            const {at, ...faults} = entry;
            faultsAt(at).set(faults);
          }
        }
        await fixture.clock.advance(15_000);
        for (const at of [0, 1, 2, 3]) faultsAt(at).clear();
        await fixture.clock.advance(15_000);

        const entries = [...hosts[0]!.journal.entries()];
        for (const {journal} of hosts) {
          expect([...journal.entries()]).toEqual(entries);
        }
        const winners = new Map(entries.map(found => [found.key, found]));
        const firsts = new Map<string, number>();
        for (const {intent, result} of calls) {
          const winner = winners.get(intent.key);
          const isWinner = winner?.bodyHash === intent.bodyHash;
          (await result).caseOf({
            Right: ({isFirst, entry: found}) => {
              expect(found.bodyHash).toBe(winner!.bodyHash);
              expect(isFirst).toBe(isWinner);
              const count = firsts.get(intent.key) ?? 0;
              firsts.set(intent.key, count + (isFirst ? 1 : 0));
              expect(firsts.get(intent.key)).toBeLessThanOrEqual(1);
            },
            Left: failure => {
              if (isWinner) expect(failure).toBeInstanceOf(UncertainError);
            },
          });
        }
        for (const {stop} of hosts) stop();
      }),
      {seed: 20_261_204, numRuns: 300},
    );
  });
});
