import {ManualClock, SeededRandomSource} from '@cardamomfield/clock';
import {UnavailableError, UncertainError} from '@cardamomfield/errors';
import {SilentLogger} from '@cardamomfield/logger';
import {MemoryMetrics} from '@cardamomfield/metrics';
import {type Either, Left, Right} from 'purify-ts';
import {CellHost} from './cell_host.js';
import type {CellPorts} from './cell_ports.js';
import type {CellSettings} from './cell_settings.js';
import {hostFixture} from './host_fixture.js';
import type {PeerClient} from './peer_client.js';
import type {PeerServer} from './peer_server.js';

type Handler = (parameters: unknown) => Promise<Either<unknown, unknown>>;

/** Time of a call between two hosts. */
const CALL_MILLISECONDS = 20;

/** A call between two hosts, by their names. */
interface MemoryCall {
  from: string;
  to: string;
}

/**
 * For tests: hosts that call each other in memory; none gets anything from the
 * store. A call that is not delivered runs into its time limit.
 */
export function createMemoryHosts(
  clock: ManualClock,
  count: number,
  isDelivered: (call: MemoryCall) => boolean = () => true,
): CellHost[] {
  const random = SeededRandomSource.create(1);
  const records: Array<{key: string; value: string}> = [];
  const handlers = new Map<string, Map<string, Handler>>();
  const names = Array.from({length: count}, (_, index) => `host-${index}`);
  const peersOf = (from: string) => ({
    call: async (
      address: string,
      method: string,
      parameters: unknown,
      _result: unknown,
      timeoutMilliseconds: number,
    ) => {
      const [to = ''] = address.split(':');
      if (!isDelivered({from, to})) {
        await clock.sleepUntil(clock.monotonicNow() + timeoutMilliseconds);
        return Left(UncertainError.create('timed out'));
      }
      await clock.sleepUntil(clock.monotonicNow() + CALL_MILLISECONDS);
      const handler = handlers.get(address)?.get(method);
      return handler?.(parameters) ?? Left(UnavailableError.create('none'));
    },
  });
  const never = () => new Promise<void>(() => {});
  return names.map(name => {
    const methods = new Map<string, Handler>();
    const {address: peerAddress} = hostFixture(name, 1_000);
    handlers.set(peerAddress, methods);
    const host = CellHost.create({
      settings: {
        ...hostFixture(name, 1_000),
        hostName: name,
        peerAddress,
        shard: 'cell-0',
        seedAddresses: [],
        timing: {maximumLeaseMilliseconds: 10_000, stopMilliseconds: 100},
        limits: {recordBytes: 1_000, requestBytes: 1_000, memoryBytes: 1_000},
        policies: {
          refusesUnderLoad: false,
          ordersByObjective: false,
          judgesWorkers: true,
          farPlacePenalty: 1,
        },
      } as unknown as CellSettings,
      ports: {
        log: {
          append: async (appended: typeof records) => {
            records.push(...appended);
            return Right(undefined);
          },
          readNewest: async () => Right(records),
          confirmEpoch: async () => Right(undefined),
        },
        hosts: {announceHost: never, announceOwner: never, follow: never},
        desiredState: {follow: never},
        workers: {follow: never},
        directLogFailureMilliseconds: () => 0,
      } as unknown as CellPorts,
      peers: peersOf(name) as unknown as PeerClient,
      server: {
        handle: (method: string, _schema: unknown, handler: Handler) =>
          methods.set(method, handler),
        handleUpgrade: () => {},
      } as unknown as PeerServer,
      clock,
      logger: SilentLogger.create(),
      metrics: MemoryMetrics.create(),
      random: () => random.fraction(),
      incarnation: name,
    });
    for (const other of names) {
      host.membership.updateHost(hostFixture(other, 1_000));
    }
    return host;
  });
}
