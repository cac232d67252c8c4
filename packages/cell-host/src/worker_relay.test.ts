import {type Socket, connect} from 'node:net';
import type {
  HostRecord,
  PollOrder,
  StartOrder,
  StartOutcome,
  WorkerDescription,
  WorkerLink,
  WorkerReport,
} from '@cardamomfield/cell-model';
import {type Clock, SystemClock, type SleepSignal} from '@cardamomfield/clock';
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

const POLL: PollOrder = {
  leaseEndWorkerMilliseconds: undefined,
  fence: 1,
  acknowledgedEnd: 7,
  waitMilliseconds: 0,
};

/** Longer than the time limit of an order through a relay. */
const FREEZE_MILLISECONDS = 2_000;

/** A usual delay of a busy host. */
const BUSY_MILLISECONDS = 150;

/** Records the calls to a worker and answers immediately, or never. */
class RecordingLink implements WorkerLink {
  readonly starts: StartOrder[] = [];
  readonly polls: PollOrder[] = [];
  isUnresponsive = false;

  async start(order: StartOrder): Promise<StartOutcome> {
    this.starts.push(order);
    if (this.isUnresponsive) await new Promise(() => {});
    return {kind: 'started', clock: 100};
  }

  async stop(): Promise<Either<TypedError, void>> {
    return Right(undefined);
  }

  async pace(): Promise<Either<TypedError, void>> {
    return Right(undefined);
  }

  async poll(order: PollOrder): Promise<Either<TypedError, WorkerReport>> {
    this.polls.push(order);
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
      hasMoreEnds: false,
    });
  }

  close(): void {}
}

/** System clock that a test can shift to simulate a pause. */
class SteppedClock implements Clock {
  private readonly system = SystemClock.create();
  /** Shift of the wall clock alone, as over a suspension of the machine. */
  wallOffset = 0;
  /** Shift of both clocks, as over a stop of the process. */
  bothOffset = 0;

  monotonicNow(): number {
    return this.system.monotonicNow() + this.bothOffset;
  }

  wallNow(): number {
    return this.system.wallNow() + this.wallOffset + this.bothOffset;
  }

  sleepUntil(deadline: number, signal?: SleepSignal): Promise<void> {
    return this.system.sleepUntil(deadline - this.bothOffset, signal);
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
    options: {epoch?: number; ownerMilliCores?: number; clock?: Clock} = {},
  ) {
    const direct = new RecordingLink();
    const links = RelayedWorkerLinks.create({
      direct: {open: () => direct},
      hosts: () => hosts,
      ownerName: 'owner',
      ownerMilliCores: options.ownerMilliCores ?? 1,
      epoch: options.epoch ?? 1,
      clock: options.clock ?? SystemClock.create(),
      logger: SilentLogger.create(),
      metrics: MemoryMetrics.create(),
    });
    closers.push(() => links.close());
    return {links, direct};
  }

  // Guards against orders or reports that the relay alters.
  it('forwards orders to the worker and reports to the owner', async () => {
    const host = await openHost('relay');
    const {links, direct} = openLinks([host.record]);
    const link = links.open(WORKER);
    expect(await link.start(START)).toEqual({kind: 'started', clock: 100});
    expect(host.link.starts).toEqual([START]);
    const report = (await link.poll(POLL)).unsafeCoerce();
    expect(report.ends[0]?.number).toBe(8);
    expect(host.link.polls[0]?.acknowledgedEnd).toBe(7);
    expect((await link.stop('a.0.0.0', 1, 1)).isRight()).toBe(true);
    expect((await link.pace('a.0.0.0', 1, 50, 1)).isRight()).toBe(true);
    expect(direct.starts).toHaveLength(0);
  });

  // Guards against sending a payload again for each task, which is three
  // quarters of the bytes on an owner's link when many submissions have many
  // tasks each, and against a start with the payload of another submission.
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

  // Guards against the cost of relays in cells that are small enough for direct
  // calls.
  it('calls the workers of a small cell directly', async () => {
    const host = await openHost('relay');
    const {links, direct} = openLinks([host.record], {ownerMilliCores: 1_000});
    await links.open(WORKER).start(START);
    expect(direct.starts).toHaveLength(1);
    expect(host.link.starts).toHaveLength(0);
  });

  // Guards against treating a worker as lost because its relay was lost.
  it('calls workers directly when the only relay is lost', async () => {
    const host = await openHost('relay');
    const {links, direct} = openLinks([host.record]);
    const link = links.open(WORKER);
    await link.poll(POLL);
    host.close();
    await link.poll(POLL);
    expect((await link.poll(POLL)).isRight()).toBe(true);
    expect(direct.polls.length).toBeGreaterThan(0);
  });

  // Guards against reporting an order as not carried out although it was: its
  // answer may be lost with the relay.
  it('reports an order as uncertain when its relay is lost', async () => {
    const host = await openHost('relay');
    host.link.isUnresponsive = true;
    const {links} = openLinks([host.record]);
    const outcome = links.open(WORKER).start(START);
    while (host.link.starts.length === 0) {
      await new Promise(resolve => setTimeout(resolve, 5));
    }
    host.close();
    expect((await outcome).kind).toBe('uncertain');
  });

  // Guards against orders from two owners around a handover: the earlier one
  // may not yet have detected that it lost the shard.
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

  // Guards against a relay that forwards calls buffered in its sockets during a
  // process pause: an acknowledgement may be for another incarnation of the
  // worker.
  it('drops calls that were buffered during a process pause', async () => {
    const host = await openHost('relay');
    const {links} = openLinks([host.record]);
    const link = links.open(WORKER);
    await link.poll(POLL);
    host.clock.wallOffset = 5_000;
    const late = await link.poll({...POLL, acknowledgedEnd: 9});
    expect(late.isLeft()).toBe(true);
    expect(host.link.polls.map(poll => poll.acknowledgedEnd)).toEqual([7]);
  });

  // Guards against orders that leave long after they were decided: a start that
  // waits for the channel to open could reach a worker that has restarted since.
  it('sends no call that waited over a pause of the owner', async () => {
    const host = await openHost('relay');
    const clock = new SteppedClock();
    const {links} = openLinks([host.record], {clock});
    const link = links.open(WORKER);
    const late = link.start(START);
    clock.wallOffset = 5_000;
    expect((await late).kind).toBe('uncertain');
    const next = {...START, attempt: 2};
    expect((await link.start(next)).kind).toBe('started');
    expect(host.link.starts).toEqual([next]);
  });

  // Guards against a relay that forwards an order long after its owner gave it
  // up: a frozen process (SIGSTOP) or a blocked one shows no drift between its
  // clocks, so the order could reach a worker that has restarted since.
  it('drops calls that were buffered while the relay was frozen', async () => {
    const host = await openHost('relay');
    const {links} = openLinks([host.record]);
    const link = links.open(WORKER);
    await link.poll(POLL);
    const late = link.start(START);
    await afterMicrotasks();
    // The frame leaves in this iteration of the event loop, before the block.
    await new Promise<void>(resolve =>
      setImmediate(() => {
        blockEventLoop(FREEZE_MILLISECONDS);
        resolve();
      }),
    );
    expect((await late).kind).toBe('uncertain');
    // The relay reads its socket only now.
    await new Promise(resolve => setTimeout(resolve, 100));
    expect(host.link.starts).toEqual([]);
  });

  // Guards against closing channels for the delays of a busy host: each closing
  // makes the calls on all channels uncertain.
  it('keeps its channels when the event loop is blocked briefly', async () => {
    const host = await openHost('relay');
    const {links, direct} = openLinks([host.record]);
    const link = links.open(WORKER);
    await link.poll(POLL);
    for (let round = 1; round <= 8; round++) {
      const outcome = link.start({...START, attempt: round});
      await afterMicrotasks();
      await new Promise<void>(resolve =>
        setImmediate(() => {
          blockEventLoop(BUSY_MILLISECONDS);
          resolve();
        }),
      );
      expect((await outcome).kind).toBe('started');
      await new Promise(resolve => setTimeout(resolve, 35 * round));
    }
    expect(direct.starts).toHaveLength(0);
    expect(host.link.starts).toHaveLength(8);
  });

  // Guards against a stop that goes unnoticed until the timer's next turn: Node
  // may read its sockets before it runs timers.
  it('drops buffered calls that are read before timers run', async () => {
    const host = await openHost('relay');
    const {links} = openLinks([host.record]);
    const link = links.open(WORKER);
    await link.poll(POLL);
    host.clock.bothOffset = FREEZE_MILLISECONDS;
    const late = await Promise.all([
      link.poll({...POLL, acknowledgedEnd: 9}),
      link.poll({...POLL, acknowledgedEnd: 10}),
    ]);
    expect(late.every(report => report.isLeft())).toBe(true);
    expect(host.link.polls.map(poll => poll.acknowledgedEnd)).toEqual([7]);
  });

  // Guards against a relay that refuses channels for good after a stall, and
  // against idle time that counts as a stall.
  it('keeps a channel over idle time and reopens one after a stall', async () => {
    const host = await openHost('relay');
    const {links} = openLinks([host.record]);
    const link = links.open(WORKER);
    await link.poll(POLL);
    await new Promise(resolve => setTimeout(resolve, 1_200));
    expect((await link.start(START)).kind).toBe('started');
    blockEventLoop(FREEZE_MILLISECONDS);
    await new Promise(resolve => setTimeout(resolve, 100));
    const other = openLinks([host.record]).links.open(WORKER);
    const next = {...START, attempt: 2};
    expect((await other.start(next)).kind).toBe('started');
    expect(host.link.starts).toEqual([START, next]);
  });

  // Guards against a malformed message that crashes the process or breaks other
  // channels.
  it('continues to serve after malformed messages of every kind', async () => {
    const host = await openHost('relay');
    const {links} = openLinks([host.record]);
    const link = links.open(WORKER);
    await link.poll(POLL);
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
    expect((await link.poll(POLL)).isRight()).toBe(true);
    expect(host.link.starts).toHaveLength(0);
  });
});

/** Lets a call that needs no input or output reach its stream. */
async function afterMicrotasks(): Promise<void> {
  for (let turn = 0; turn < 50; turn++) await Promise.resolve();
}

function blockEventLoop(milliseconds: number): void {
  const endsAt = performance.now() + milliseconds;
  while (performance.now() < endsAt);
}

async function upgrade(port: number): Promise<Socket> {
  const socket = connect(port, '127.0.0.1');
  socket.write(
    `GET /relay HTTP/1.1\r\nHost: relay\r\nConnection: Upgrade\r\nUpgrade: ${RelayChannel.protocol}\r\n\r\n`,
  );
  await new Promise(resolve => socket.once('data', resolve));
  return socket;
}
