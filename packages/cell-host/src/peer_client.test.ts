import {type Server, createServer} from 'node:http';
import type {AddressInfo} from 'node:net';
import {UncertainError} from '@cardamomfield/errors';
import {afterEach, expect, it} from 'vitest';
import {PeerClient} from './peer_client.js';
import {PeerMessages} from './peer_messages.js';
import {PeerMethod} from './peer_method.js';

const TEST_TIMEOUT_MILLISECONDS = 5_000;

/** More calls than a host has connections to another one. */
const WAITING_CALLS = 30;

let server: Server;

afterEach(() => {
  server.closeAllConnections();
  server.close();
});

// Guards against calls that never end: the owner would wait for good for an
// answer that has arrived, for example to a query for advice.
it.each([
  '',
  'null',
  '[]',
  '{}',
  '{"jsonrpc": "2.0", "id": 7, "result": {}}',
  '{"jsonrpc": "2.0", "id": null, "error": {"code": -32700, "message": "m"}}',
])(
  'fails when a host answers %j',
  async body => {
    server = createServer((_request, response) => response.end(body));
    await new Promise<void>(resolve =>
      server.listen(0, '127.0.0.1', () => resolve()),
    );
    const {port} = server.address() as AddressInfo;
    const answer = await PeerClient.create().call(
      `127.0.0.1:${port}`,
      'method',
      {},
      PeerMessages.empty,
      1_000,
    );
    expect(answer.extract()).toBeInstanceOf(UncertainError);
  },
  TEST_TIMEOUT_MILLISECONDS,
);

// Guards against submissions that wait until their deadline behind reads, which
// the owner answers only after a proof of its epoch, and against an owner that
// looks silent since pings wait behind submissions.
it.each([
  [PeerMethod.submit, PeerMethod.show],
  [PeerMethod.ping, PeerMethod.submit],
])(
  'answers %s while calls of %s wait for their answers',
  async (answered, unanswered) => {
    server = createServer((request, response) => {
      const chunks: Buffer[] = [];
      request.on('data', (chunk: Buffer) => chunks.push(chunk));
      request.on('end', () => {
        const {id, method} = JSON.parse(Buffer.concat(chunks).toString()) as {
          id: number;
          method: string;
        };
        if (method === unanswered) return;
        response.end(JSON.stringify({jsonrpc: '2.0', id, result: {}}));
      });
    });
    await new Promise<void>(resolve =>
      server.listen(0, '127.0.0.1', () => resolve()),
    );
    const {port} = server.address() as AddressInfo;
    const peers = PeerClient.create();
    const call = (method: string) =>
      peers.call(
        `127.0.0.1:${port}`,
        method,
        {},
        PeerMessages.empty,
        TEST_TIMEOUT_MILLISECONDS / 2,
      );
    const waiting = Array.from({length: WAITING_CALLS}, () => call(unanswered));
    expect((await call(answered)).isRight()).toBe(true);
    server.closeAllConnections();
    await Promise.all(waiting);
  },
  TEST_TIMEOUT_MILLISECONDS,
);
