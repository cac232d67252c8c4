import {SystemClock} from '@cardamomfield/clock';
import {SilentLogger} from '@cardamomfield/logger';
import {expect, it} from 'vitest';
import {RelayChannel} from './relay_channel.js';

// Guards against a worker's session that ends because opening a channel to an
// odd address threw within its poll.
it('does not throw for a host whose address is none', () => {
  const open = () =>
    RelayChannel.create({
      host: {
        name: 'odd',
        address: '127.0.0.1:99999',
        region: 'region',
        availabilityZone: 'zone',
        milliCores: 1,
        incarnation: 'odd-1',
      },
      epoch: 1,
      ownerName: 'a',
      clock: SystemClock.create(),
      logger: SilentLogger.create(),
      onClosed: () => {},
    });
  expect(open).not.toThrow();
});
