import {ManualClock, SeededRandomSource} from '@cardamomfield/clock';
import {UnavailableError, UncertainError} from '@cardamomfield/errors';
import {SilentLogger} from '@cardamomfield/logger';
import {MemoryMetrics} from '@cardamomfield/metrics';
import {LogService, MemoryPlatformLog} from '@cardamomfield/platform-stand-ins';
import fc from 'fast-check';
import {describe, expect, it} from 'vitest';
import {LogFollower} from './log_follower.js';
import type {StreamFold} from './stream_fold.js';

type Entries = ReadonlyArray<{offset: number; body: unknown}>;
type Settings = Parameters<typeof LogFollower.create>[0]['settings'];
type ServiceSettings = Partial<Parameters<typeof LogService.create>[0]>;

/** Collects every body with its offset, in order. */
const listFold: StreamFold<Entries> = {
  initial: () => [],
  apply: (state, {offset, body}) => {
    if (body === 'broken') throw new Error('unreadable');
    return [...state, {offset, body}];
  },
  toSnapshot: state => state,
  fromSnapshot: snapshot =>
    Array.isArray(snapshot) ? (snapshot as Entries) : undefined,
};

/** A log and followers of one of its streams, on a shared clock. */
class Fixture {
  readonly clock = ManualClock.create();
  readonly service: LogService;
  private readonly stopping = new AbortController();
  private count = 0;

  constructor(settings: ServiceSettings = {}) {
    this.service = LogService.create({clock: this.clock, ...settings});
  }

  add(settings: Settings = {}) {
    this.count += 1;
    const {clock, service} = this;
    const log = MemoryPlatformLog.create({clock, service});
    const metrics = MemoryMetrics.create();
    const follower = LogFollower.create({
      log,
      stream: 's',
      fold: listFold,
      clock,
      random: SeededRandomSource.create(this.count),
      logger: SilentLogger.create(),
      metrics,
      writer: `host-${this.count}`,
      settings: {writesSnapshots: false, ...settings},
    });
    return {follower, metrics, log};
  }

  start(settings: Settings = {}) {
    const added = this.add(settings);
    void added.follower.run(this.stopping.signal);
    return added;
  }

  /** Appends and advances the clock until the outcome is known. */
  async append(
    follower: LogFollower<Entries>,
    body: unknown,
    milliseconds = 10_000,
  ) {
    const deadline = this.clock.monotonicNow() + milliseconds;
    const result = follower.append(body, deadline);
    let isDone = false;
    void result.then(() => (isDone = true));
    await this.clock.advance(0);
    while (!isDone) await this.clock.advance(50);
    return result;
  }

  stop(): void {
    this.stopping.abort();
  }
}

type SkipCause = 'snapshot' | 'trimmed start' | 'seeded state';
const SKIP_CAUSES: SkipCause[] = ['snapshot', 'trimmed start', 'seeded state'];
/** Settings that let a follower start at a trimmed head without a snapshot. */
const WITHOUT_SNAPSHOT = {trimmedStartAgeMilliseconds: 0};

/** Makes a follower skip all records of the log without reading them. */
async function skipRecords(
  fixture: Fixture,
  kind: SkipCause,
  follower: LogFollower<Entries>,
): Promise<void> {
  const writesSnapshots = kind === 'snapshot';
  const settings = {writesSnapshots, snapshotAfterRecords: 2};
  const peer = fixture.start({...settings, snapshotJitter: 0}).follower;
  await fixture.clock.advance(0);
  for (const body of ['first', 'second']) await fixture.append(peer, body);
  await fixture.clock.advance(0);
  if (kind === 'seeded state') {
    const isAdopted = follower.seedStateAt(peer.state(), peer.nextOffset());
    expect(isAdopted).toBe(true);
    return;
  }
  const records = fixture.service.records('s');
  const isSnapshot = (body: unknown) => 'snapshot' in (body as object);
  expect(records.some(({body}) => isSnapshot(body))).toBe(writesSnapshots);
  fixture.service.trim('s', records.at(-1)!.offset);
}

const bodies = (entries: Entries) => entries.map(entry => entry.body);

describe('LogFollower', () => {
  // Guards against followers that apply records in different orders.
  it('leads all followers to the same state in log order', async () => {
    const fixture = new Fixture();
    const followers = [fixture.start(), fixture.start(), fixture.start()];
    const deadline = fixture.clock.monotonicNow() + 1_000;
    const offsets = await Promise.all(
      followers.map(({follower}, index) => follower.append(index, deadline)),
    );
    await fixture.clock.advance(1);
    expect(offsets.map(offset => offset.extract()).sort()).toEqual([0, 1, 2]);
    for (const {follower} of followers) {
      expect(follower.isCaughtUp()).toBe(true);
      expect(follower.state()).toEqual(followers[0]!.follower.state());
      expect(follower.nextOffset()).toBe(3);
    }
    fixture.stop();
  });

  // Guards against a process whose start is delayed by a stream without
  // records.
  it('is caught up immediately on an empty stream', async () => {
    const fixture = new Fixture();
    const {follower} = fixture.start();
    await fixture.clock.advance(0);
    expect(follower.isCaughtUp()).toBe(true);
    fixture.stop();
  });

  // Guards against repeating or failing an append that took effect, while
  // `run` is active and while it is not.
  it.each([true, false])(
    'finds the record of a lost answer (running: %s)',
    async isRunning => {
      const fixture = new Fixture();
      const {follower} = isRunning ? fixture.start() : fixture.add();
      fixture.service.faults.set({loseAnswers: 1});
      expect((await fixture.append(follower, 'once')).extract()).toBe(0);
      expect(bodies(follower.state())).toEqual(['once']);
      expect(fixture.service.records('s')).toHaveLength(1);
      fixture.stop();
    },
  );

  // Guards against a definite answer while the append may still be in flight.
  it('stays uncertain while an append may still arrive', async () => {
    const fixture = new Fixture();
    const {follower, log} = fixture.start();
    log.faults.set({holdWrites: true});
    const result = await fixture.append(follower, 'late', 1_000);
    expect(result.swap().extract()).toBeInstanceOf(UncertainError);
    log.faults.clear();
    await fixture.clock.advance(1);
    expect(bodies(follower.state())).toEqual(['late']);
    fixture.stop();
  });

  // Guards against a record that takes effect after its append was reported
  // to have had none.
  it('ignores a record that arrives after its proof of absence', async () => {
    const fixture = new Fixture();
    const {follower, log, metrics} = fixture.start();
    log.faults.set({holdWrites: true});
    const result = await fixture.append(follower, 'late', 10_000);
    expect(result.swap().extract()).toBeInstanceOf(UnavailableError);
    log.faults.clear();
    await fixture.clock.advance(1);
    expect(fixture.service.records('s')).toHaveLength(1);
    expect(follower.nextOffset()).toBe(1);
    expect(follower.state()).toEqual([]);
    expect(metrics.value('log.records.expired')).toBe(1);
    fixture.stop();
  });

  // Guards against a definite answer when neither append nor read succeeds.
  it('is uncertain when the log can not be read either', async () => {
    const fixture = new Fixture();
    const {follower, log} = fixture.start();
    log.faults.set({loseAnswers: 1, answerDelayMilliseconds: 1});
    const pending = fixture.append(follower, 'there');
    await fixture.clock.advance(0);
    log.faults.set({silent: true});
    const failure = (await pending).swap().extract();
    expect(failure).toBeInstanceOf(UncertainError);
    fixture.stop();
  });

  // Guards against an append that is reported to have had no effect although
  // its record is in force, because the follower skipped the record.
  it.each(SKIP_CAUSES)(
    'is uncertain when a %s skips the record of a lost answer',
    async kind => {
      const fixture = new Fixture();
      const {follower, log} = fixture.start(WITHOUT_SNAPSHOT);
      await fixture.clock.advance(0);
      const deadline = fixture.clock.monotonicNow() + 20_000;
      log.faults.set({loseAnswers: 1, answerDelayMilliseconds: 1});
      const result = follower.append('skipped', deadline);
      await fixture.clock.advance(0);
      log.faults.set({silent: true});
      expect(fixture.service.records('s')).toHaveLength(1);
      await fixture.clock.advance(1);
      await skipRecords(fixture, kind, follower);
      expect(follower.state()).toHaveLength(kind === 'seeded state' ? 3 : 0);
      log.faults.clear();
      await fixture.clock.advance(20_000);
      expect(follower.nextOffset()).toBe(fixture.service.appends());
      expect((await result).swap().extract()).toBeInstanceOf(UncertainError);
      fixture.stop();
    },
  );

  // Guards against an append that is reported as applied although its record
  // was skipped, so that it may have expired or be missing from the state.
  it.each(SKIP_CAUSES)(
    'is uncertain when a %s skips a record of known offset',
    async kind => {
      const fixture = new Fixture();
      const {follower, log} = fixture.add(WITHOUT_SNAPSHOT);
      log.faults.set({delayMilliseconds: 10});
      const deadline = fixture.clock.monotonicNow() + 20_000;
      const result = follower.append('skipped', deadline);
      await fixture.clock.advance(15);
      expect(fixture.service.records('s')).toHaveLength(1);
      expect(follower.nextOffset()).toBe(0);
      await skipRecords(fixture, kind, follower);
      await fixture.clock.advance(20_000);
      expect(follower.nextOffset()).toBeGreaterThan(0);
      expect((await result).swap().extract()).toBeInstanceOf(UncertainError);
      fixture.stop();
    },
  );

  // Guards against an append that is reported as uncertain although its record
  // was read after the follower had skipped others.
  it.each(SKIP_CAUSES)('finds a record that follows a %s', async kind => {
    const fixture = new Fixture();
    const {follower, log} = fixture.start(WITHOUT_SNAPSHOT);
    await fixture.clock.advance(0);
    log.faults.set({holdWrites: true, loseAnswers: 1});
    const deadline = fixture.clock.monotonicNow() + 20_000;
    const result = follower.append('later', deadline);
    await fixture.clock.advance(1);
    log.faults.set({silent: true});
    await skipRecords(fixture, kind, follower);
    log.faults.set({silent: false});
    await fixture.clock.advance(6_000);
    expect(follower.nextOffset()).toBe(fixture.service.appends());
    log.faults.set({holdWrites: false});
    await fixture.clock.advance(14_000);
    const {offset} = follower.state().find(entry => entry.body === 'later')!;
    expect((await result).extract()).toBe(offset);
    fixture.stop();
  });

  // Guards against losing the state when the log trims its oldest records, and
  // against losing records between a snapshot's state and its own offset.
  it('starts from a snapshot when the head was trimmed', async () => {
    const fixture = new Fixture({retentionRecords: 40});
    const {follower} = fixture.start();
    const settings = {writesSnapshots: true, snapshotAfterRecords: 10};
    const slowWriter = fixture.start(settings);
    slowWriter.log.faults.set({delayMilliseconds: 35});
    for (let body = 0; body < 100; body += 1) {
      await fixture.append(follower, body);
      await fixture.clock.advance(10);
    }
    const late = fixture.start();
    await fixture.clock.advance(1);
    expect(fixture.service.records('s')[0]!.offset).toBeGreaterThan(50);
    expect(late.follower.isCaughtUp()).toBe(true);
    expect(late.follower.state()).toEqual(follower.state());
    expect(bodies(late.follower.state())).toHaveLength(100);
    fixture.stop();
  });

  // Guards against a stream without new records whose only snapshot expires.
  it('repeats a snapshot in time on a stream without new records', async () => {
    const fixture = new Fixture({retentionMilliseconds: 60_000});
    const settings = {writesSnapshots: true, snapshotAfterMilliseconds: 20_000};
    const {follower} = fixture.start(settings);
    await fixture.append(follower, 'kept');
    await fixture.clock.advance(300_000);
    const late = fixture.start();
    await fixture.clock.advance(1);
    expect(bodies(late.follower.state())).toEqual(['kept']);
    fixture.stop();
  });

  // Guards against a process that serves from a state with missing records.
  it('is not caught up when no usable snapshot is left', async () => {
    const fixture = new Fixture({retentionRecords: 2});
    const {follower} = fixture.start();
    for (const body of [0, 1, 2, 3]) await fixture.append(follower, body);
    const late = fixture.start();
    await fixture.clock.advance(10_000);
    expect(late.follower.isCaughtUp()).toBe(false);
    expect(late.metrics.value('log.snapshots.missing')).toBeGreaterThan(0);
    const age = {trimmedStartAgeMilliseconds: 60_000};
    const tolerant = fixture.start(age);
    await fixture.clock.advance(45_000);
    expect(tolerant.follower.isCaughtUp()).toBe(false);
    await fixture.clock.advance(10_000);
    expect(bodies(tolerant.follower.state())).toEqual([2, 3]);
    fixture.stop();
  });

  // Guards against a wrong state after duplicate, stale or invalid snapshots.
  it('is not affected by duplicate, stale and invalid snapshots', async () => {
    const fixture = new Fixture({retentionRecords: 40});
    const settings = {
      writesSnapshots: true,
      snapshotAfterRecords: 10,
      snapshotJitter: 0,
    };
    const hosts = [fixture.start(settings), fixture.start(settings)];
    for (let body = 0; body < 60; body += 1) {
      await fixture.append(hosts[body % 2]!.follower, body);
    }
    const written = hosts.map(host =>
      host.metrics.value('log.snapshots.written'),
    );
    expect(Math.min(...written)).toBeGreaterThan(1);
    const through = fixture.service.records('s').at(-1)!.offset + 1;
    for (const snapshot of ['not deflated', '']) {
      await fixture.service.append('s', {id: 'x', through, snapshot});
    }
    const late = fixture.start();
    await fixture.clock.advance(1);
    expect(late.follower.isCaughtUp()).toBe(true);
    expect(late.follower.state()).toEqual(hosts[0]!.follower.state());
    expect(bodies(late.follower.state())).toHaveLength(60);
    expect(late.metrics.value('log.snapshots.unusable')).toBe(2);
    fixture.stop();
  });

  // Guards against hosts that all write a snapshot at each threshold.
  it('writes about one snapshot per threshold over nine hosts', async () => {
    const fixture = new Fixture();
    const settings = {writesSnapshots: true, snapshotAfterRecords: 100};
    const hosts = Array.from({length: 9}, () => fixture.start(settings));
    for (let body = 0; body < 1_000; body += 1) {
      await fixture.append(hosts[body % 9]!.follower, body);
    }
    const written = hosts.reduce(
      (sum, host) => sum + host.metrics.value('log.snapshots.written'),
      0,
    );
    expect(written).toBeGreaterThanOrEqual(7);
    expect(written).toBeLessThanOrEqual(20);
    fixture.stop();
  });

  // Guards against followers that stop during an outage or retry without
  // back-off.
  it('resumes after an outage', async () => {
    const fixture = new Fixture({retentionRecords: 30});
    const writing = {writesSnapshots: true, snapshotAfterRecords: 10};
    const {follower} = fixture.start(writing);
    const cutOff = fixture.start();
    await fixture.append(follower, 'before');
    cutOff.log.faults.set({outage: true});
    for (let body = 0; body < 100; body += 1) {
      await fixture.append(follower, body);
    }
    const refused = await fixture.append(cutOff.follower, 'refused');
    expect(refused.swap().extract()).toBeInstanceOf(UnavailableError);
    await fixture.clock.advance(100_000);
    expect(bodies(cutOff.follower.state())).toEqual(['before']);
    expect(cutOff.follower.isLogUnavailable()).toBe(true);
    expect(cutOff.metrics.value('log.reads.failed')).toBeLessThan(150);
    cutOff.log.faults.clear();
    await fixture.clock.advance(5_000);
    expect(cutOff.follower.state()).toEqual(follower.state());
    expect(cutOff.follower.isLogUnavailable()).toBe(false);
    fixture.stop();
  });

  // Guards against a malformed record that stops followers or makes their
  // states differ.
  it('counts malformed records and leaves the state unchanged', async () => {
    const fixture = new Fixture();
    const {follower, metrics} = fixture.start();
    await fixture.service.append('s', 'no envelope');
    await fixture.service.append('s', {id: 'x', body: 'no expiry'});
    await fixture.append(follower, 'broken');
    await fixture.append(follower, 'good');
    expect(bodies(follower.state())).toEqual(['good']);
    expect(follower.nextOffset()).toBe(4);
    expect(metrics.value('log.records.malformed')).toBe(3);
    fixture.stop();
  });

  // Guards against replacing the state by an older one of a peer.
  it('adopts a newer state of a peer and never an older one', async () => {
    const fixture = new Fixture();
    const {follower} = fixture.start();
    await fixture.append(follower, 'first');
    await fixture.append(follower, 'second');
    const late = fixture.start();
    late.log.faults.set({outage: true});
    const seen: unknown[] = [];
    late.follower.onChange(state => seen.push(bodies(state)));
    const older = follower.state().slice(0, 1);
    expect(late.follower.seedStateAt(follower.state(), 2)).toBe(true);
    expect(late.follower.seedStateAt(older, 1)).toBe(false);
    expect(late.follower.isCaughtUp()).toBe(false);
    late.log.faults.clear();
    await fixture.append(follower, 'third');
    await fixture.clock.advance(5_000);
    expect(late.follower.state()).toEqual(follower.state());
    expect(seen).toEqual([
      ['first', 'second'],
      ['first', 'second', 'third'],
    ]);
    fixture.stop();
  });

  // Guards against authority that lasts too long because it is counted from the
  // answer to a read.
  it('dates a fresh read from the time at which it was sent', async () => {
    const fixture = new Fixture();
    const {follower, log} = fixture.add();
    await fixture.service.append('s', {id: 'x', expires: 2e15, body: 1});
    log.faults.set({delayMilliseconds: 30, answerDelayMilliseconds: 40});
    const sentAt = fixture.clock.monotonicNow();
    const read = follower.readFresh(sentAt + 1_000);
    await fixture.clock.advance(70);
    expect((await read).extract()).toEqual({sentAt, nextOffset: 1});
  });

  // Guards against followers whose states differ and against results of
  // appends that contradict the log, under random faults.
  it('agrees with the log under random faults', async () => {
    const step = fc.oneof(
      {weight: 6, arbitrary: fc.record({append: fc.nat(2)})},
      {
        weight: 3,
        arbitrary: fc.record({advance: fc.integer({max: 3_000, min: 1})}),
      },
      {weight: 1, arbitrary: fc.record({outage: fc.nat(3), is: fc.boolean()})},
      {weight: 1, arbitrary: fc.record({hold: fc.nat(2), is: fc.boolean()})},
      {weight: 1, arbitrary: fc.record({silent: fc.nat(2), is: fc.boolean()})},
      {weight: 1, arbitrary: fc.record({lose: fc.nat(2)})},
    );
    const steps = fc.array(step, {minLength: 10, maxLength: 60});
    await fc.assert(
      fc.asyncProperty(steps, async chosen => {
        const fixture = new Fixture();
        const hosts = [0, 1, 2].map(() => fixture.start());
        const logs = [...hosts.map(host => host.log), fixture.service];
        const results: Array<{body: string; result: Promise<unknown>}> = [];
        for (const [number, entry] of chosen.entries()) {
          if ('append' in entry) {
            const body = `${entry.append}-${number}`;
            const {follower} = hosts[entry.append]!;
            const deadline = fixture.clock.monotonicNow() + 4_000;
            const result = follower.append(body, deadline);
            results.push({body, result: result.then(r => r.extract())});
          } else if ('advance' in entry) {
            await fixture.clock.advance(entry.advance);
          } else if ('outage' in entry) {
            logs[entry.outage]!.faults.set({outage: entry.is});
          } else if ('hold' in entry) {
            logs[entry.hold]!.faults.set({holdWrites: entry.is});
          } else if ('silent' in entry) {
            logs[entry.silent]!.faults.set({silent: entry.is});
          } else {
            logs[entry.lose]!.faults.set({loseAnswers: 1});
          }
        }
        await fixture.clock.advance(10_000);
        for (const log of logs) log.faults.clear();
        await fixture.clock.advance(10_000);
        const state = hosts[0]!.follower.state();
        for (const {follower} of hosts) {
          expect(follower.nextOffset()).toBe(fixture.service.appends());
          expect(follower.state()).toEqual(state);
        }
        for (const {body, result} of results) {
          const outcome = await result;
          const found = state.filter(entry => entry.body === body);
          if (typeof outcome === 'number') {
            expect(found).toEqual([{offset: outcome, body}]);
          } else if (outcome instanceof UnavailableError) {
            expect(found).toEqual([]);
          } else {
            expect(outcome).toBeInstanceOf(UncertainError);
            expect(found.length).toBeLessThanOrEqual(1);
          }
        }
        fixture.stop();
      }),
      {seed: 20_261_204, numRuns: 300},
    );
  });
});
