import {once} from 'node:events';
import {type AddressInfo, createServer} from 'node:net';
import {fileURLToPath} from 'node:url';
import {expect, it} from 'vitest';
import {ManagedProcess} from './managed_process.js';

const CLI = fileURLToPath(new URL('../../cli/dist/main.js', import.meta.url));

// Guards against an entry host that neither serves nor exits, so that whoever
// started it waits on.
it.each(['caller', 'peer'])(
  'an entry host exits if its %s port is in use',
  async kind => {
    const occupant = createServer().listen(0, '127.0.0.1');
    await once(occupant, 'listening');
    const {port} = occupant.address() as AddressInfo;
    const ports = {caller: 0, peer: 0, [kind]: port};
    const entry = ManagedProcess.create({
      name: 'entry-1',
      script: CLI,
      flags: [
        'entry',
        '--process-name=entry-1',
        '--region=region-1',
        '--availability-zone=region-1-1',
        `--caller-port=${ports.caller}`,
        `--peer-port=${ports.peer}`,
        '--peers=entry-1=127.0.0.1:1',
        '--log-service-url=http://127.0.0.1:1',
        '--host-list-url=http://127.0.0.1:1',
      ],
    });
    try {
      await expect(entry.firstLine()).rejects.toThrow('exited before');
      expect(entry.exitCode()).not.toBe(0);
    } finally {
      await entry.kill();
      occupant.close();
    }
  },
);
