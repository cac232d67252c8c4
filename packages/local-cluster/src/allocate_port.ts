import {once} from 'node:events';
import {type AddressInfo, createServer} from 'node:net';

/**
 * Returns a loopback port that is free at the moment. Ports are chosen before
 * the entry hosts start because each host needs the ports of its peers.
 */
export async function allocatePort(): Promise<number> {
  const server = createServer();
  server.listen(0, '127.0.0.1');
  await once(server, 'listening');
  const {port} = server.address() as AddressInfo;
  server.close();
  await once(server, 'close');
  return port;
}
