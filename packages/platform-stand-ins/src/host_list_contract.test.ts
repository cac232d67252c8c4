import {SystemClock} from '@cardamomfield/clock';
import {UnavailableError} from '@cardamomfield/errors';
import type {HostList} from '@cardamomfield/platform';
import {HttpHostList} from '@cardamomfield/platform-http';
import {afterEach, describe, expect, it} from 'vitest';
import {HostListServer} from './host_list_server.js';
import {HostListService} from './host_list_service.js';
import {MemoryHostList} from './memory_host_list.js';

const LONG_TIMEOUT_MS = 100_000;

const clock = SystemClock.create();
const cleanups: Array<() => Promise<void>> = [];
const deadlineIn = (milliseconds: number) =>
  clock.monotonicNow() + milliseconds;

afterEach(async () => {
  for (const cleanup of cleanups.splice(0).reverse()) await cleanup();
});

async function connectHttp(service: HostListService): Promise<HostList> {
  const server = await HostListServer.create({service});
  const list = HttpHostList.create({address: server.address(), clock});
  cleanups.push(
    () => server.close(),
    () => list.close(),
  );
  return list;
}

const transports: Array<
  [string, (service: HostListService) => Promise<HostList>]
> = [
  ['memory', async service => MemoryHostList.create({clock, service})],
  ['HTTP', connectHttp],
];

describe.each(transports)('HostList over %s', (_name, connect) => {
  // Guards against a transport that drops the state of a host.
  it('lists live and leaving hosts', async () => {
    const service = HostListService.create({clock});
    const list = await connect(service);
    service.put({name: 'a', state: 'live'});
    service.put({name: 'b', state: 'live'});
    service.put({name: 'a', state: 'leaving'});
    service.put({name: 'c', state: 'live'});
    service.remove('c');
    expect((await list.list(deadlineIn(LONG_TIMEOUT_MS))).extract()).toEqual([
      {name: 'b', state: 'live'},
      {name: 'a', state: 'leaving'},
    ]);
  });

  // Guards against a stand-in that shows changes earlier than the platform's
  // list, which lags behind.
  it('shows a change only after the lag', async () => {
    const hosts = [{name: 'a', state: 'live' as const}];
    const lagMilliseconds = 1_000_000;
    const service = HostListService.create({clock, hosts, lagMilliseconds});
    const list = await connect(service);
    service.put({name: 'a', state: 'leaving'});
    expect((await list.list(deadlineIn(LONG_TIMEOUT_MS))).extract()).toEqual(
      hosts,
    );
    service.setLag(0);
    expect((await list.list(deadlineIn(LONG_TIMEOUT_MS))).extract()).toEqual([
      {name: 'a', state: 'leaving'},
    ]);
  });

  // Guards against reporting an outage as an empty list.
  it.each([[{outage: true}], [{silent: true}]])(
    'reports %o as unavailable',
    async faults => {
      const service = HostListService.create({clock});
      const list = await connect(service);
      service.faults.set(faults);
      const failure = (await list.list(deadlineIn(40))).swap().extract();
      expect(failure).toBeInstanceOf(UnavailableError);
    },
  );
});
