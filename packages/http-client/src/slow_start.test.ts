import {Worker} from 'node:worker_threads';
import {afterEach, expect, it} from 'vitest';
import {HttpClient} from './http_client.js';

const CLIENTS = 40;
const CALLS_PER_CLIENT = 6;
const CONNECTIONS = 12;
const TIMEOUT_MILLISECONDS = 300;

/** Turns in which a server can accept one connection of each client. */
const TURNS = 2 * CLIENTS;

/**
 * HTTP server on another thread whose event loop takes 40 ms a turn, as that of
 * a new owner does. It reports when some turns are over, and then runs freely.
 */
const BUSY_SERVER = `
  const {createServer} = require('node:http');
  const {parentPort, workerData} = require('node:worker_threads');
  let turns = 0;
  const server = createServer((request, response) => response.end('answered'));
  server.listen({port: 0, host: '127.0.0.1', backlog: 4096}, () => {
    parentPort.postMessage(server.address().port);
    setTimeout(turn, 0);
  });
  function turn() {
    const end = performance.now() + 40;
    while (performance.now() < end);
    if (++turns < workerData.turns) setImmediate(turn);
    else parentPort.postMessage(turns);
  }
`;

const closers: Array<() => unknown> = [];
afterEach(() => Promise.all(closers.splice(0).map(close => close())));

function nextMessage(server: Worker): Promise<number> {
  return new Promise(resolve => server.once('message', resolve));
}

// Guards against a new owner that answers few hosts for many seconds: each opens
// all of its connections at once and gives them up before they are accepted, or
// waits for another connection while an accepted one is idle.
it('lets a busy server answer each of many clients', async () => {
  const server = new Worker(BUSY_SERVER, {
    eval: true,
    workerData: {turns: TURNS},
  });
  closers.push(() => server.terminate());
  const url = `http://127.0.0.1:${await nextMessage(server)}/`;
  const finished = nextMessage(server);
  let isOver = false;
  const answered = new Set<HttpClient>();
  const call = async (client: HttpClient): Promise<void> => {
    while (!isOver) {
      const answer = await client.call({
        url,
        method: 'GET',
        timeoutMilliseconds: TIMEOUT_MILLISECONDS,
      });
      if (answer.isRight()) answered.add(client);
    }
  };
  const clients = Array.from({length: CLIENTS}, () =>
    HttpClient.create({
      connections: CONNECTIONS,
      connectTimeoutMilliseconds: 5_000,
      keepAliveMilliseconds: 10_000,
      keepsSlowConnections: true,
      startsSlowly: true,
    }),
  );
  closers.push(() => Promise.all(clients.map(client => client.close())));
  const callers = clients.flatMap(client =>
    Array.from({length: CALLS_PER_CLIENT}, () => call(client)),
  );
  await finished;
  isOver = true;
  const answeredCount = answered.size;
  await Promise.all(callers);
  expect(answeredCount).toBe(CLIENTS);
});
