import {ManualClock} from '@cardamomfield/clock';
import {UncertainError} from '@cardamomfield/errors';
import {SilentLogger} from '@cardamomfield/logger';
import {MemoryMetrics} from '@cardamomfield/metrics';
import {type Either, Left} from 'purify-ts';
import {expect, it, vi} from 'vitest';
import {CellHost} from './cell_host.js';
import type {CellPorts} from './cell_ports.js';
import type {CellSettings} from './cell_settings.js';
import {ownerFixture} from './owner_fixture.js';
import type {PeerClient} from './peer_client.js';
import {PeerMethod} from './peer_method.js';
import type {PeerServer} from './peer_server.js';

type Handler = (parameters: unknown) => Promise<Either<unknown, unknown>>;

// Guards against replacing a working owner: a former owner, or a host whose
// claim took long, may send an outdated request to take over the shard.
it('rejects a takeover request of an owner with an old epoch', async () => {
  const handlers = new Map<string, Handler>();
  const append = vi.fn(async () => Left(UncertainError.create('timed out')));
  const host = CellHost.create({
    settings: {
      hostName: 'strong-1',
      peerAddress: 'strong-1:1',
      region: 'region',
      availabilityZone: 'zone',
      milliCores: 1_350,
      shard: 'cell-0',
      seedAddresses: [],
      graceMilliseconds: 1_000,
    } as unknown as CellSettings,
    ports: {
      log: {append, readNewest: vi.fn(), confirmEpoch: vi.fn()},
      directLogFailureMilliseconds: () => 0,
    } as unknown as CellPorts,
    peers: {} as PeerClient,
    server: {
      handle: (method: string, _schema: unknown, handler: Handler) =>
        handlers.set(method, handler),
      handleUpgrade: () => {},
    } as unknown as PeerServer,
    clock: ManualClock.create(),
    logger: SilentLogger.create(),
    metrics: MemoryMetrics.create(),
    random: () => 0,
    incarnation: 'strong-1',
  });
  host.membership.updateOwner(ownerFixture('strong-2', 5), 'news');
  const takeOver = handlers.get(PeerMethod.takeOver);
  const outdated = await takeOver?.({owner: ownerFixture('weak', 4)});
  expect(outdated?.isLeft()).toBe(true);
  expect(append).not.toHaveBeenCalled();
  await takeOver?.({owner: ownerFixture('strong-2', 5)});
  expect(append).toHaveBeenCalled();
});
