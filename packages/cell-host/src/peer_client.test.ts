import {type Server, createServer} from 'node:http';
import type {AddressInfo} from 'node:net';
import {UncertainError} from '@cardamomfield/errors';
import {afterEach, expect, it} from 'vitest';
import {PeerClient} from './peer_client.js';
import {PeerMessages} from './peer_messages.js';

const TEST_TIMEOUT_MILLISECONDS = 5_000;

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
