import {once} from 'node:events';
import {type AddressInfo, createServer} from 'node:net';

/** A loopback port that is free now; entry hosts must know those of peers. */
export async function allocatePort(): Promise<number> {
  const server = createServer();
  server.listen(0, '127.0.0.1');
  await once(server, 'listening');
  const {port} = server.address() as AddressInfo;
  server.close();
  await once(server, 'close');
  return port;
}
