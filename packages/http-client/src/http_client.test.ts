import {Worker} from 'node:worker_threads';
import {type Server, createServer} from 'node:http';
import {
  type AddressInfo,
  type Socket,
  createServer as createTcpServer,
} from 'node:net';
import {UnavailableError, UncertainError} from '@cardamomfield/errors';
import {afterEach, describe, expect, it} from 'vitest';
import {HttpClient} from './http_client.js';

const TIMEOUT_MILLISECONDS = 200;

function createClient(connections: number): HttpClient {
  return HttpClient.create({
    connections,
    connectTimeoutMilliseconds: 5_000,
    keepAliveMilliseconds: 10_000,
  });
}

describe('HttpClient', () => {
  const closers: Array<() => void> = [];
  afterEach(() => closers.splice(0).forEach(close => close()));

  async function listen(server: Server | ReturnType<typeof createTcpServer>) {
    await new Promise<void>(resolve =>
      server.listen(0, '127.0.0.1', () => resolve()),
    );
    closers.push(() => server.close());
    const {port} = server.address() as AddressInfo;
    return `http://127.0.0.1:${port}/`;
  }

  // Guards against callers that take an unanswered call for one not made.
  it('tells a refused connection from a call without an answer', async () => {
    const silent = createTcpServer(socket =>
      closers.push(() => socket.destroy()),
    );
    const url = await listen(silent);
    const client = createClient(1);
    const call = {
      url,
      method: 'GET',
      timeoutMilliseconds: TIMEOUT_MILLISECONDS,
    } as const;
    expect((await client.call(call)).extract()).toBeInstanceOf(UncertainError);

    const gone = createTcpServer();
    const goneUrl = await listen(gone);
    await new Promise(resolve => gone.close(resolve));
    const refused = await client.call({...call, url: goneUrl});
    expect(refused.extract()).toBeInstanceOf(UnavailableError);
  });

  // Guards against a limit that only counts once a connection is free: the
  // second call used to end with the connect timeout instead of its own.
  it('ends a call in time that still waits for a connection', async () => {
    const silent = createTcpServer(socket =>
      closers.push(() => socket.destroy()),
    );
    const url = await listen(silent);
    const client = createClient(1);
    let firstEnded = false;
    const first = client
      .call({
        url,
        method: 'GET',
        timeoutMilliseconds: 20 * TIMEOUT_MILLISECONDS,
      })
      .then(() => {
        firstEnded = true;
      });
    const second = await client.call({
      url,
      method: 'GET',
      timeoutMilliseconds: TIMEOUT_MILLISECONDS,
    });
    expect(second.extract()).toBeInstanceOf(UncertainError);
    expect(firstEnded).toBe(false);
    await first;
  });

  // Guards against connections that went silent for good and are used again.
  it('opens new connections after a call without an answer', async () => {
    const sockets: Socket[] = [];
    const server = createServer((_request, response) => {
      // Only the first connection stays silent, on every request.
      if (response.socket === sockets[0]) return;
      response.end('answered');
    });
    server.on('connection', socket => sockets.push(socket));
    closers.push(() => server.closeAllConnections());
    const url = await listen(server);
    const client = createClient(1);
    const call = {
      url,
      method: 'GET',
      timeoutMilliseconds: TIMEOUT_MILLISECONDS,
    } as const;
    expect((await client.call(call)).isLeft()).toBe(true);
    const answer = await client.call({...call, timeoutMilliseconds: 5_000});
    expect(answer.map(({body}) => body.toString()).extract()).toBe('answered');
  });
});

/** Answers after 100 ms, from another thread. */
const SERVER = `
  const {createServer} = require('node:http');
  const {parentPort} = require('node:worker_threads');
  const server = createServer((request, response) => {
    setTimeout(() => response.end('{}'), 100);
  });
  server.listen(0, '127.0.0.1', () =>
    parentPort.postMessage(server.address().port),
  );
`;

// Guards against answers that are thrown away because the process was held up:
// its timers fire before it reads what had arrived (an owner with too little
// processor took 33 of 246 workers for lost).
it('takes an answer that arrived in time although the process was held up', async () => {
  const server = new Worker(SERVER, {eval: true});
  const port = await new Promise<number>(resolve =>
    server.once('message', resolve),
  );
  const client = HttpClient.create({
    connections: 1,
    connectTimeoutMilliseconds: 5_000,
    keepAliveMilliseconds: 5_000,
  });
  const call = {
    url: `http://127.0.0.1:${port}/`,
    method: 'GET' as const,
    timeoutMilliseconds: 5_000,
  };
  expect((await client.call(call)).isRight()).toBe(true);
  const answer = client.call({...call, timeoutMilliseconds: 200});
  // The call is on its way before the process stands still. Timers are the
  // first to run after an immediate.
  await new Promise(resolve => setTimeout(resolve, 0));
  await new Promise(resolve => setImmediate(resolve));
  Atomics.wait(new Int32Array(new SharedArrayBuffer(4)), 0, 0, 600);
  expect((await answer).isRight()).toBe(true);
  await client.close();
  await server.terminate();
});
