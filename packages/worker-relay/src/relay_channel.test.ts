import {once} from 'node:events';
import {Worker} from 'node:worker_threads';
import type {WorkerDescription} from '@cardamomfield/cell-model';
import {SystemClock} from '@cardamomfield/clock';
import {SilentLogger} from '@cardamomfield/logger';
import {afterEach, expect, it} from 'vitest';
import {z} from 'zod';
import {RelayChannel} from './relay_channel.js';

const WORKER: WorkerDescription = {
  id: 'worker',
  service: 'service',
  address: '127.0.0.1:9',
  availabilityZone: 'zone',
  state: 'ready',
  milliCores: 1_000,
  memoryMegabytes: 1_000,
  accelerators: 0,
  labels: [],
  bornAtUnixMilliseconds: 1,
};

const TIMEOUT_MILLISECONDS = 200;

/** Relay on another thread that answers each call after 50 ms. */
const RELAY = `
  const {createServer} = require('node:http');
  const {parentPort} = require('node:worker_threads');
  const server = createServer();
  server.on('upgrade', (request, socket) => {
    socket.write(
      'HTTP/1.1 101 Switching Protocols\\r\\nConnection: Upgrade\\r\\n' +
        'Upgrade: ' + request.headers.upgrade + '\\r\\n\\r\\n',
    );
    let text = '';
    socket.on('data', chunk => {
      text += chunk;
      const lines = text.split('\\n');
      text = lines.pop();
      const answers = lines
        .flatMap(line => JSON.parse(line))
        .filter(({id}) => id !== undefined)
        .map(({id}) => ({jsonrpc: '2.0', id, result: {}}));
      if (answers.length === 0) return;
      setTimeout(() => socket.write(JSON.stringify(answers) + '\\n'), 50);
    });
  });
  server.listen(0, '127.0.0.1', () =>
    parentPort.postMessage(server.address().port),
  );
`;

const closers: Array<() => unknown> = [];
afterEach(() => Promise.all(closers.splice(0).map(close => close())));

function openChannel(address: string): RelayChannel {
  const channel = RelayChannel.create({
    host: {
      name: 'relay',
      address,
      region: 'region',
      availabilityZone: 'zone',
      milliCores: 1,
      incarnation: 'relay-1',
    },
    epoch: 1,
    ownerName: 'a',
    clock: SystemClock.create(),
    logger: SilentLogger.create(),
    onClosed: () => {},
  });
  closers.push(() => channel.close());
  return channel;
}

// Guards against a worker's session that ends because opening a channel to an
// odd address threw within its poll.
it('does not throw for a host whose address is none', () => {
  expect(() => openChannel('127.0.0.1:99999')).not.toThrow();
});

// Guards against starts that count as unanswered although the answer was there:
// an owner whose turn of the event loop takes longer than the time limit closed
// its channels and waited for the leases of runs that had started.
it('accepts an answer that arrived in time while the process was busy', async () => {
  const relay = new Worker(RELAY, {eval: true});
  closers.push(() => relay.terminate());
  const [port] = (await once(relay, 'message')) as [number];
  const channel = openChannel(`127.0.0.1:${port}`);
  const call = (timeoutMilliseconds: number) =>
    channel.call(WORKER, 'method', {}, z.object({}), timeoutMilliseconds);
  expect((await call(5_000)).isRight()).toBe(true);
  const answer = call(TIMEOUT_MILLISECONDS);
  // Sends the call before the process is blocked. Timers are the first callbacks
  // to run after an immediate.
  await new Promise(resolve => setTimeout(resolve, 0));
  await new Promise(resolve => setImmediate(resolve));
  Atomics.wait(new Int32Array(new SharedArrayBuffer(4)), 0, 0, 600);
  expect((await answer).isRight()).toBe(true);
  expect(channel.isOpen).toBe(true);
});
