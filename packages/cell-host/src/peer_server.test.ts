import {type Socket, connect} from 'node:net';
import {SilentLogger} from '@cardamomfield/logger';
import {Right} from 'purify-ts';
import {afterEach, describe, expect, it} from 'vitest';
import {PeerClient} from './peer_client.js';
import {PeerMessages} from './peer_messages.js';
import {PeerServer} from './peer_server.js';

/** Longer than the server takes to read and reject a malformed message. */
const SETTLE_MILLISECONDS = 20;

const MALFORMED = [
  'no HTTP at all\r\n\r\n',
  'POST /rpc HTTP/1.1\r\nHost: a\r\nContent-Length: 4\r\n\r\nnone',
  'POST /rpc HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\n\r\n[]',
  'POST /rpc HTTP/1.1\r\nHost: a\r\nContent-Length: 4\r\n\r\nnull',
  'POST /rpc HTTP/1.1\r\nHost: a\r\nContent-Length: 999\r\n\r\n{"part',
  'POST /rpc HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n',
  'GET /relay HTTP/1.1\r\nHost: a\r\nConnection: Upgrade\r\nUpgrade: other\r\n\r\n',
  'GET /rpc HTTP/1.1\r\nHost: a\r\n\r\n',
];

describe('PeerServer', () => {
  const closers: Array<() => void> = [];
  afterEach(() => closers.splice(0).forEach(close => close()));

  // Guards against a crash of the process by a malformed message, or by a
  // connection that is closed in the middle of a message.
  it('continues to serve after malformed and aborted requests', async () => {
    const server = PeerServer.create(SilentLogger.create());
    closers.push(() => server.close());
    server.handleUpgrade('stream', socket => socket.destroy());
    server.handle('echo', PeerMessages.empty, async () => Right({}));
    await server.listen('127.0.0.1', 0);
    for (const message of MALFORMED) {
      for (const end of ['end', 'resetAndDestroy'] as const) {
        const socket: Socket = connect(server.port, '127.0.0.1');
        socket.on('error', () => {});
        socket.write(message);
        await new Promise(resolve => setTimeout(resolve, SETTLE_MILLISECONDS));
        socket[end]();
      }
    }
    await new Promise(resolve => setTimeout(resolve, SETTLE_MILLISECONDS));
    const answer = await PeerClient.create().call(
      `127.0.0.1:${server.port}`,
      'echo',
      {},
      PeerMessages.empty,
      5_000,
    );
    expect(answer.isRight()).toBe(true);
  });
});
