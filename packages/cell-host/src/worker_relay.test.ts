import {type Socket, connect} from 'node:net';
import type {
  HostRecord,
  LookOrder,
  StartOrder,
  StartOutcome,
  WorkerDescription,
  WorkerLink,
  WorkerReport,
} from '@cardamomfield/cell-model';
import {type Clock, SystemClock} from '@cardamomfield/clock';
import type {TypedError} from '@cardamomfield/errors';
import {SilentLogger} from '@cardamomfield/logger';
import {MemoryMetrics} from '@cardamomfield/metrics';
import {
  RelayChannel,
  RelayServer,
  RelayedWorkerLinks,
} from '@cardamomfield/worker-relay';
import {type Either, Right} from 'purify-ts';
import {afterEach, describe, expect, it} from 'vitest';
import {PeerServer} from './peer_server.js';

const WORKER: WorkerDescription = {
  id: 'worker',
  service: 'service',
  address: '127.0.0.1:9',
  availabilityZone: 'zone',
  state: 'ready',
  milliCores: 1_000,
  memoryMegabytes: 1_000,
  accelerators: 0,
  labels: [],
  bornAtUnixMilliseconds: 1,
};

const START: StartOrder = {
  taskName: 'a.0.0.0',
  attempt: 1,
  payload: 'payload',
  leaseEndWorkerMilliseconds: 5_000,
  fence: 1,
  checkpoint: '',
  ticket: '',
};

const LOOK: LookOrder = {
  leaseEndWorkerMilliseconds: undefined,
  fence: 1,
  acknowledgedEnd: 7,
  waitMilliseconds: 0,
};

/** A worker that notes what reaches it and answers at once, or never. */
class RecordingLink implements WorkerLink {
  readonly starts: StartOrder[] = [];
  readonly looks: LookOrder[] = [];
  isSilent = false;

  async start(order: StartOrder): Promise<StartOutcome> {
    this.starts.push(order);
    if (this.isSilent) await new Promise(() => {});
    return {kind: 'started', clock: 100};
  }

  async stop(): Promise<Either<TypedError, void>> {
    return Right(undefined);
  }

  async pace(): Promise<Either<TypedError, void>> {
    return Right(undefined);
  }

  async look(order: LookOrder): Promise<Either<TypedError, WorkerReport>> {
    this.looks.push(order);
    return Right({
      clock: 100,
      bornAtUnixMilliseconds: 1,
      running: [],
      ends: [
        {
          number: 8,
          taskName: 'a.0.0.0',
          attempt: 1,
          kind: 'done',
          checkpoint: '',
        },
      ],
    });
  }

  close(): void {}
}

/** The system's clock, whose wall time a test can move to imitate a freeze. */
class SteppedClock implements Clock {
  private readonly system = SystemClock.create();
  wallOffset = 0;

  monotonicNow(): number {
    return this.system.monotonicNow();
  }

  wallNow(): number {
    return this.system.wallNow() + this.wallOffset;
  }

  sleepUntil(deadline: number, signal?: AbortSignal): Promise<void> {
    return this.system.sleepUntil(deadline, signal);
  }
}

/** One relay host with one worker behind it. */
class RelayHost {
  readonly link = new RecordingLink();
  readonly clock = new SteppedClock();
  readonly relay = RelayServer.create({
    links: {open: () => this.link},
    clock: this.clock,
    logger: SilentLogger.create(),
  });
  private readonly server = PeerServer.create(SilentLogger.create());

  private constructor(readonly name: string) {
    this.server.handleUpgrade(RelayChannel.protocol, socket =>
      this.relay.serve(socket),
    );
  }

  static async create(name: string): Promise<RelayHost> {
    const host = new RelayHost(name);
    await host.server.listen('127.0.0.1', 0);
    return host;
  }

  get port(): number {
    return this.server.port;
  }

  get record(): HostRecord {
    return {
      name: this.name,
      address: `127.0.0.1:${this.port}`,
      region: 'region',
      availabilityZone: 'zone',
      milliCores: 1_000,
      incarnation: this.name,
    };
  }

  close(): void {
    this.relay.close();
    this.server.close();
  }
}

describe('calls to workers through relay hosts', () => {
  const closers: Array<() => void> = [];
  afterEach(() => closers.splice(0).forEach(close => close()));

  async function openHost(name: string): Promise<RelayHost> {
    const host = await RelayHost.create(name);
    closers.push(() => host.close());
    return host;
  }

  function openLinks(
    hosts: HostRecord[],
    options: {epoch?: number; ownerMilliCores?: number} = {},
  ) {
    const direct = new RecordingLink();
    const links = RelayedWorkerLinks.create({
      direct: {open: () => direct},
      hosts: () => hosts,
      ownerName: 'owner',
      ownerMilliCores: options.ownerMilliCores ?? 1,
      epoch: options.epoch ?? 1,
      clock: SystemClock.create(),
      logger: SilentLogger.create(),
      metrics: MemoryMetrics.create(),
    });
    closers.push(() => links.close());
    return {links, direct};
  }

  // Guards against orders or reports that change on their way.
  it('brings orders to the worker and reports back', async () => {
    const host = await openHost('relay');
    const {links, direct} = openLinks([host.record]);
    const link = links.open(WORKER);
    expect(await link.start(START)).toEqual({kind: 'started', clock: 100});
    expect(host.link.starts).toEqual([START]);
    const report = (await link.look(LOOK)).unsafeCoerce();
    expect(report.ends[0]?.number).toBe(8);
    expect(host.link.looks[0]?.acknowledgedEnd).toBe(7);
    expect((await link.stop('a.0.0.0', 1, 1)).isRight()).toBe(true);
    expect((await link.pace('a.0.0.0', 1, 50, 1)).isRight()).toBe(true);
    expect(direct.starts).toHaveLength(0);
  });

  // Load: many submissions of many tasks each. Guards against payloads that are
  // sent for each task (three quarters of the bytes on an owner's link), and
  // against a start with another submission's payload.
  it('starts every task with its own payload', async () => {
    const host = await openHost('relay');
    const {links} = openLinks([host.record]);
    const link = links.open(WORKER);
    for (let index = 0; index < 1_200; index++) {
      const payload = `payload ${Math.floor(index / 2)}`;
      await link.start({...START, attempt: index + 1, payload});
    }
    const payloads = host.link.starts.map(({payload}) => payload);
    expect(payloads).toHaveLength(1_200);
    expect(
      payloads.every((text, at) => text === `payload ${Math.floor(at / 2)}`),
    ).toBe(true);
  });

  // Guards against the cost of a detour in cells that one owner carries well.
  it('calls the workers of a small cell directly', async () => {
    const host = await openHost('relay');
    const {links, direct} = openLinks([host.record], {ownerMilliCores: 1_000});
    await links.open(WORKER).start(START);
    expect(direct.starts).toHaveLength(1);
    expect(host.link.starts).toHaveLength(0);
  });

  // Guards against a worker that is given up because its relay was lost.
  it('goes on directly when the only relay is gone', async () => {
    const host = await openHost('relay');
    const {links, direct} = openLinks([host.record]);
    const link = links.open(WORKER);
    await link.look(LOOK);
    host.close();
    await link.look(LOOK);
    expect((await link.look(LOOK)).isRight()).toBe(true);
    expect(direct.looks.length).toBeGreaterThan(0);
  });

  // Guards against an order that ran and is told as not run: its answer may be
  // lost with the relay.
  it('calls an order uncertain whose relay was lost before the answer', async () => {
    const host = await openHost('relay');
    host.link.isSilent = true;
    const {links} = openLinks([host.record]);
    const outcome = links.open(WORKER).start(START);
    while (host.link.starts.length === 0) {
      await new Promise(resolve => setTimeout(resolve, 5));
    }
    host.close();
    expect((await outcome).kind).toBe('uncertain');
  });

  // Guards against two owners that act around a handover: the earlier one may
  // still believe that it owns the shard.
  it('serves only the newest owner', async () => {
    const host = await openHost('relay');
    const earlier = openLinks([host.record], {epoch: 1});
    const earlierLink = earlier.links.open(WORKER);
    await earlierLink.start(START);
    const later = openLinks([host.record], {epoch: 2});
    await later.links.open(WORKER).start({...START, attempt: 2, fence: 2});
    await earlierLink.start({...START, attempt: 3});
    const attempts = host.link.starts.map(({attempt}) => attempt);
    expect(attempts).toEqual([1, 2]);
  });

  // Guards against a relay that was paused and then sends what had waited in
  // its sockets: an acknowledgement may be for another life of the worker.
  it('drops what waited while its process was frozen', async () => {
    const host = await openHost('relay');
    const {links} = openLinks([host.record]);
    const link = links.open(WORKER);
    await link.look(LOOK);
    host.clock.wallOffset = 5_000;
    const late = await link.look({...LOOK, acknowledgedEnd: 9});
    expect(late.isLeft()).toBe(true);
    expect(host.link.looks.map(look => look.acknowledgedEnd)).toEqual([7]);
  });

  // Guards against one malformed message that ends the process or the calls of
  // others.
  it('survives malformed messages of every kind', async () => {
    const host = await openHost('relay');
    const {links} = openLinks([host.record]);
    const link = links.open(WORKER);
    await link.look(LOOK);
    const messages = [
      'no JSON',
      '{"no":"array"}',
      '[1]',
      '[{"jsonrpc":"2.0","id":1,"method":"worker.look","params":[]}]',
      '[{"jsonrpc":"2.0","id":1,"method":"worker.start","params":{"handle":99}}]',
      '[{"jsonrpc":"2.0","id":1,"method":"unknown"}]',
      '[{"jsonrpc":"2.0","method":"worker.open","params":{"handle":"x"}}]',
    ];
    for (const message of messages) {
      const socket = await upgrade(host.port);
      closers.push(() => socket.destroy());
      socket.write(`${message}\n`);
      await new Promise(resolve => setTimeout(resolve, 20));
    }
    expect((await link.look(LOOK)).isRight()).toBe(true);
    expect(host.link.starts).toHaveLength(0);
  });
});

async function upgrade(port: number): Promise<Socket> {
  const socket = connect(port, '127.0.0.1');
  socket.write(
    `GET /relay HTTP/1.1\r\nHost: relay\r\nConnection: Upgrade\r\nUpgrade: ${RelayChannel.protocol}\r\n\r\n`,
  );
  await new Promise(resolve => socket.once('data', resolve));
  return socket;
}
