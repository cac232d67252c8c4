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

/** Timeout of calls that are expected to be answered. */
const LONG_TIMEOUT_MS = 100_000;
/** Timeout of calls that are never answered. */
const SHORT_TIMEOUT_MS = 40;

const clock = SystemClock.create();
const cleanups: Array<() => Promise<void>> = [];
const deadlineIn = (milliseconds: number) =>
  clock.monotonicNow() + milliseconds;

type Settings = Partial<Parameters<typeof LogService.create>[0]>;

afterEach(async () => {
  for (const cleanup of cleanups.splice(0).reverse()) await cleanup();
});

async function createServerAndLog(service: LogService) {
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
  ['HTTP', async service => (await createServerAndLog(service)).log],
];

describe.each(transports)('PlatformLog over %s', (_name, connect) => {
  async function setUp(settings: Settings = {}) {
    const service = LogService.create({clock, ...settings});
    const log = await connect(service);
    const append = (body: unknown, milliseconds = LONG_TIMEOUT_MS) =>
      log.append({stream: 's', body, deadline: deadlineIn(milliseconds)});
    const read = (
      from: number,
      milliseconds = LONG_TIMEOUT_MS,
      wait?: number,
    ) =>
      log.read({
        stream: 's',
        from,
        maximumRecords: 10,
        deadline: deadlineIn(milliseconds),
        ...(wait !== undefined && {waitUntil: deadlineIn(wait)}),
      });
    return {service, append, read};
  }

  // Guards against gaps in the offsets and against bodies that are changed by
  // the transport.
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

  // Guards against a reader that is not told that the records at its offset
  // have been trimmed.
  it('reports the head when the offset has been trimmed', async () => {
    const {append, read} = await setUp({retentionRecords: 2});
    for (const body of [0, 1, 2, 3]) await append(body);
    const failure = (await read(1)).swap().unsafeCoerce();
    expect(failure).toBeInstanceOf(NotFoundError);
    expect(failure.details.head).toBe(2);
    expect((await read(2)).unsafeCoerce().records).toHaveLength(2);
  });

  // Guards against a reader that gets a new record only at the end of its
  // wait.
  it('answers a waiting read when a record arrives', async () => {
    const {append, read} = await setUp();
    const waiting = read(0, LONG_TIMEOUT_MS, LONG_TIMEOUT_MS);
    await append('awaited');
    const page = (await waiting).unsafeCoerce();
    expect(page.records.map(record => record.body)).toEqual(['awaited']);
  });

  // Guards against a wait that never ends on a stream without appends.
  it('answers a waiting read without records when the wait ends', async () => {
    const {read} = await setUp();
    expect((await read(0, LONG_TIMEOUT_MS, 10)).unsafeCoerce().records).toEqual(
      [],
    );
  });

  // Guards against reporting an append as uncertain when an outage refused it.
  it('reports an outage as unavailable, without effect', async () => {
    const {service, append, read} = await setUp();
    service.faults.set({outage: true});
    expect((await append(1)).swap().extract()).toBeInstanceOf(UnavailableError);
    expect((await read(0)).swap().extract()).toBeInstanceOf(UnavailableError);
    expect(service.records('s')).toEqual([]);
  });

  // Guards against reporting a lost answer as a call without effect.
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
    const appended = (await append(1, SHORT_TIMEOUT_MS)).swap().extract();
    expect(appended).toBeInstanceOf(UncertainError);
    const page = (await read(0, SHORT_TIMEOUT_MS)).swap().extract();
    expect(page).toBeInstanceOf(UnavailableError);
  });

  // Guards against a stand-in that drops delayed appends at their deadline: on
  // the platform they can still take effect after it.
  it('lets a delayed append take effect after its deadline', async () => {
    const {service, append, read} = await setUp();
    service.faults.set({holdWrites: true});
    expect((await append(1, SHORT_TIMEOUT_MS)).swap().extract()).toBeInstanceOf(
      UncertainError,
    );
    expect((await read(0)).unsafeCoerce().records).toEqual([]);
    service.faults.clear();
    expect(
      (await read(0, LONG_TIMEOUT_MS, LONG_TIMEOUT_MS)).unsafeCoerce().records,
    ).toHaveLength(1);
  });

  // Guards against tests and benches that append above the service's rate.
  it('refuses appends above the rate limit, without effect', async () => {
    const {service, append} = await setUp({appendsPerSecond: 0.0001});
    expect((await append(1)).swap().extract()).toBeInstanceOf(UnavailableError);
    expect(service.records('s')).toEqual([]);
  });

  // Guards against endless retries of an append that can never succeed.
  it('refuses a body above the limit as invalid', async () => {
    const {append} = await setUp({maximumBodyLength: 10});
    const failure = (await append('much too long')).swap().extract();
    expect(failure).toBeInstanceOf(InvalidInputError);
  });

  // Guards against sending a call after the deadline of its caller.
  it('sends nothing after the deadline', async () => {
    const {service, append} = await setUp();
    expect((await append(1, 0)).swap().extract()).toBeInstanceOf(
      UnavailableError,
    );
    expect(service.records('s')).toEqual([]);
  });
});

describe('LogService', () => {
  // Guards against records that are kept beyond the retention time.
  it('trims records by age', async () => {
    const service = LogService.create({clock, retentionMilliseconds: 5});
    await service.append('s', 1);
    await clock.sleepUntil(deadlineIn(10));
    expect(service.records('s')).toEqual([]);
    const log = MemoryPlatformLog.create({clock, service});
    const options = {
      stream: 's',
      maximumRecords: 1,
      deadline: deadlineIn(LONG_TIMEOUT_MS),
    };
    expect((await log.read({...options, from: 0})).isLeft()).toBe(true);
    expect((await log.read({...options, from: 1})).isRight()).toBe(true);
  });
});

describe('HttpPlatformLog', () => {
  const append = (log: PlatformLog, milliseconds = LONG_TIMEOUT_MS) =>
    log.append({stream: 's', body: 1, deadline: deadlineIn(milliseconds)});

  // Guards against reporting the append as uncertain although nothing was
  // sent.
  it('reports a refused connection as unavailable', async () => {
    const service = LogService.create({clock});
    const {server, log} = await createServerAndLog(service);
    await server.close();
    cleanups.shift();
    expect((await append(log)).swap().extract()).toBeInstanceOf(
      UnavailableError,
    );
  });

  // Guards against reusing connections that no longer answer.
  it('replaces connections that no longer answer', async () => {
    const service = LogService.create({clock});
    const {server, log} = await createServerAndLog(service);
    await Promise.all([append(log), append(log), append(log)]);
    // The pool gets a connection back one event loop turn after its answer.
    await setImmediate();
    server.silenceEstablished();
    const failure = (await append(log, SHORT_TIMEOUT_MS)).swap().extract();
    expect(failure).toBeInstanceOf(UncertainError);
    expect((await append(log)).extract()).toBe(3);
  });

  // Guards against treating an unexpected answer as a success, or as proof that
  // the append had no effect.
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
