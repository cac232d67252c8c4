import {createServer} from 'node:http';
import type {AddressInfo} from 'node:net';
import {setImmediate} from 'node:timers/promises';
import {SystemClock} from '@cardamomfield/clock';
import {
  InvalidInputError,
  NotFoundError,
  UnavailableError,
  UncertainError,
} from '@cardamomfield/errors';
import type {PlatformLog} from '@cardamomfield/platform';
import {HttpPlatformLog} from '@cardamomfield/platform-http';
import {afterEach, describe, expect, it} from 'vitest';
import {LogServer} from './log_server.js';
import {LogService} from './log_service.js';
import {MemoryPlatformLog} from './memory_platform_log.js';

/** Deadline of calls that are expected to be answered. */
const LONG = 100_000;
/** Deadline of calls that are never answered. */
const SHORT = 40;

const clock = SystemClock.create();
const cleanups: Array<() => Promise<void>> = [];
const within = (milliseconds: number) => clock.monotonicNow() + milliseconds;

type Settings = Partial<Parameters<typeof LogService.create>[0]>;

afterEach(async () => {
  for (const cleanup of cleanups.splice(0).reverse()) await cleanup();
});

async function createServed(service: LogService) {
  const server = await LogServer.create({service, clock});
  const log = HttpPlatformLog.create({address: server.address(), clock});
  cleanups.push(
    () => server.close(),
    () => log.close(),
  );
  return {server, log};
}

const transports: Array<
  [string, (service: LogService) => Promise<PlatformLog>]
> = [
  ['memory', async service => MemoryPlatformLog.create({clock, service})],
  ['HTTP', async service => (await createServed(service)).log],
];

describe.each(transports)('PlatformLog over %s', (_name, connect) => {
  async function setUp(settings: Settings = {}) {
    const service = LogService.create({clock, ...settings});
    const log = await connect(service);
    const append = (body: unknown, milliseconds = LONG) =>
      log.append({stream: 's', body, deadline: within(milliseconds)});
    const read = (from: number, milliseconds = LONG, wait?: number) =>
      log.read({
        stream: 's',
        from,
        maximumRecords: 10,
        deadline: within(milliseconds),
        ...(wait !== undefined && {waitUntil: within(wait)}),
      });
    return {service, append, read};
  }

  // Guards against offsets with gaps and against bodies changed on the way.
  it('returns records in the order of their offsets', async () => {
    const {append, read} = await setUp();
    const body = {text: 'café', list: [1, null, {a: true}]};
    expect((await append(body)).extract()).toBe(0);
    expect((await append('second')).extract()).toBe(1);
    const page = (await read(0)).unsafeCoerce();
    expect(page.records.map(record => record.body)).toEqual([body, 'second']);
    expect(page.records.map(record => record.offset)).toEqual([0, 1]);
    expect([page.head, page.tail]).toEqual([0, 2]);
    expect((await read(2)).unsafeCoerce().records).toEqual([]);
  });

  // Guards against a reader that never learns that its start is gone.
  it('reports the head when the offset has been trimmed', async () => {
    const {append, read} = await setUp({retentionRecords: 2});
    for (const body of [0, 1, 2, 3]) await append(body);
    const failure = (await read(1)).swap().unsafeCoerce();
    expect(failure).toBeInstanceOf(NotFoundError);
    expect(failure.details.head).toBe(2);
    expect((await read(2)).unsafeCoerce().records).toHaveLength(2);
  });

  // Guards against a reader that sees a record only when its wait is over.
  it('answers a waiting read when a record arrives', async () => {
    const {append, read} = await setUp();
    const waiting = read(0, LONG, LONG);
    await append('awaited');
    const page = (await waiting).unsafeCoerce();
    expect(page.records.map(record => record.body)).toEqual(['awaited']);
  });

  // Guards against a wait that never ends on a quiet stream.
  it('answers a waiting read without records when the wait ends', async () => {
    const {read} = await setUp();
    expect((await read(0, LONG, 10)).unsafeCoerce().records).toEqual([]);
  });

  // Guards against an outage that is taken for a possible append.
  it('reports an outage as unavailable, without effect', async () => {
    const {service, append, read} = await setUp();
    service.faults.set({outage: true});
    expect((await append(1)).swap().extract()).toBeInstanceOf(UnavailableError);
    expect((await read(0)).swap().extract()).toBeInstanceOf(UnavailableError);
    expect(service.records('s')).toEqual([]);
  });

  // Guards against a lost answer that is taken for a proof of no effect.
  it('reports a lost answer as uncertain', async () => {
    const {service, append} = await setUp();
    service.faults.set({loseAnswers: 1});
    expect((await append(1)).swap().extract()).toBeInstanceOf(UncertainError);
    expect((await append(2)).extract()).toBe(1);
    expect(service.records('s')).toHaveLength(2);
  });

  // Guards against calls that outlive their deadline.
  it('ends calls without an answer at their deadline', async () => {
    const {service, append, read} = await setUp();
    service.faults.set({silent: true});
    const appended = (await append(1, SHORT)).swap().extract();
    expect(appended).toBeInstanceOf(UncertainError);
    const page = (await read(0, SHORT)).swap().extract();
    expect(page).toBeInstanceOf(UnavailableError);
  });

  // Guards against the belief that an append can't arrive after its deadline.
  it('lets a held append take effect late', async () => {
    const {service, append, read} = await setUp();
    service.faults.set({holdWrites: true});
    expect((await append(1, SHORT)).swap().extract()).toBeInstanceOf(
      UncertainError,
    );
    expect((await read(0)).unsafeCoerce().records).toEqual([]);
    service.faults.clear();
    expect((await read(0, LONG, LONG)).unsafeCoerce().records).toHaveLength(1);
  });

  // Guards against appends beyond the service's rate in tests and benches.
  it('refuses appends above the rate limit, without effect', async () => {
    const {service, append} = await setUp({appendsPerSecond: 0.0001});
    expect((await append(1)).swap().extract()).toBeInstanceOf(UnavailableError);
    expect(service.records('s')).toEqual([]);
  });

  // Guards against endless repetition of an append that can never succeed.
  it('refuses a body above the limit as invalid', async () => {
    const {append} = await setUp({maximumBodyLength: 10});
    const failure = (await append('much too long')).swap().extract();
    expect(failure).toBeInstanceOf(InvalidInputError);
  });

  // Guards against a late call that is sent although its caller has given up.
  it('sends nothing after the deadline', async () => {
    const {service, append} = await setUp();
    expect((await append(1, 0)).swap().extract()).toBeInstanceOf(
      UnavailableError,
    );
    expect(service.records('s')).toEqual([]);
  });
});

describe('LogService', () => {
  // Guards against records that outlive the retention time.
  it('trims records by age', async () => {
    const service = LogService.create({clock, retentionMilliseconds: 5});
    await service.append('s', 1);
    await clock.sleepUntil(within(10));
    expect(service.records('s')).toEqual([]);
    const log = MemoryPlatformLog.create({clock, service});
    const options = {stream: 's', maximumRecords: 1, deadline: within(LONG)};
    expect((await log.read({...options, from: 0})).isLeft()).toBe(true);
    expect((await log.read({...options, from: 1})).isRight()).toBe(true);
  });
});

describe('HttpPlatformLog', () => {
  const append = (log: PlatformLog, milliseconds = LONG) =>
    log.append({stream: 's', body: 1, deadline: within(milliseconds)});

  // Guards against a needless doubt: nothing was sent.
  it('reports a refused connection as unavailable', async () => {
    const service = LogService.create({clock});
    const {server, log} = await createServed(service);
    await server.close();
    cleanups.shift();
    expect((await append(log)).swap().extract()).toBeInstanceOf(
      UnavailableError,
    );
  });

  // Guards against calls that stay on silent connections for good.
  it('replaces connections that have gone silent', async () => {
    const service = LogService.create({clock});
    const {server, log} = await createServed(service);
    await Promise.all([append(log), append(log), append(log)]);
    // The pool takes a connection back one turn after its answer.
    await setImmediate();
    server.silenceEstablished();
    const failure = (await append(log, SHORT)).swap().extract();
    expect(failure).toBeInstanceOf(UncertainError);
    expect((await append(log)).extract()).toBe(3);
  });

  // Guards against an unexpected answer that is taken for a success or for a
  // proof of no effect.
  it.each([
    [200, '{"offset": "1"}'],
    [200, 'not JSON'],
    [500, '{}'],
    [502, '<html>'],
    [404, '{"code": "not-found", "message": "?"}'],
  ])('reports answer %i %s to an append as uncertain', async (status, text) => {
    const server = createServer((_request, response) => {
      response.writeHead(status).end(text);
    });
    await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve));
    const {port} = server.address() as AddressInfo;
    const address = `http://127.0.0.1:${port}`;
    const log = HttpPlatformLog.create({address, clock});
    expect((await append(log)).swap().extract()).toBeInstanceOf(UncertainError);
    await log.close();
    server.close();
  });
});
