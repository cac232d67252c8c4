import {connect, createServer, type Server, type Socket} from 'node:net';
import {SeededRandomSource, SystemClock} from '@cardamomfield/clock';
import type {TypedError} from '@cardamomfield/errors';
import {SilentLogger} from '@cardamomfield/logger';
import {MemoryMetrics} from '@cardamomfield/metrics';
import type {PeerMethod} from '@cardamomfield/peer-protocol';
import {compareHybridTime, Timeline} from '@cardamomfield/timeline';
import {type Either, Right} from 'purify-ts';
import {afterEach, describe, expect, it, vi} from 'vitest';
import {z} from 'zod';
import {encodeFrame} from './encode_frame.js';
import type {PeerLimits} from './peer_limits.js';
import {PeerMesh} from './peer_mesh.js';
import {readFrames} from './read_frames.js';

const ADDRESS = '127.0.0.1';
const ECHO: PeerMethod<string, string> = {
  name: 'echo',
  parameters: z.string(),
  result: z.string(),
};

const clock = SystemClock.create();
const callDeadline = () => clock.monotonicNow() + 20_000;
const codeOf = (outcome: Either<TypedError, unknown>) =>
  outcome.swap().unsafeCoerce().code;
const waitOptions = {timeout: 20_000, interval: 5};

/** A host under test with its metrics and port. */
interface Host {
  mesh: PeerMesh;
  metrics: MemoryMetrics;
  timeline: Timeline;
  port: number;
}

const cleanups: Array<() => unknown> = [];
afterEach(async () => {
  for (const cleanup of cleanups.splice(0).reverse()) await cleanup();
});

async function startHost(
  name: string,
  options: {
    region?: string;
    incarnation?: string;
    limits?: Partial<PeerLimits>;
    silenceMilliseconds?: number;
  } = {},
): Promise<Host> {
  const metrics = MemoryMetrics.create();
  const timeline = Timeline.create({process: name, clock});
  const mesh = PeerMesh.create({
    self: {
      name,
      incarnation: options.incarnation ?? '1',
      region: options.region ?? 'r',
      availabilityZone: 'z',
    },
    address: ADDRESS,
    port: 0,
    clock,
    random: SeededRandomSource.create(1),
    logger: SilentLogger.create(),
    metrics,
    timeline,
    heartbeatPeriodMilliseconds: 100,
    silenceMilliseconds: options.silenceMilliseconds ?? 400,
    limits: options.limits,
  });
  cleanups.push(() => mesh.close());
  const port = (await mesh.listen()).unsafeCoerce();
  return {mesh, metrics, timeline, port};
}

const peerAddress = (name: string, port: number) => ({
  name,
  address: ADDRESS,
  port,
});

/** Forwards connections; can make existing ones drop all bytes silently. */
class Proxy {
  readonly connections: Array<{
    silent: boolean;
    near: Socket;
    far: Socket;
  }> = [];

  private constructor(private readonly server: Server) {}

  static async create(target: number): Promise<Proxy> {
    const server = createServer(near => {
      const far = connect({host: ADDRESS, port: target});
      const connection = {silent: false, near, far};
      proxy.connections.push(connection);
      const forward = (from: Socket, to: Socket) => {
        from.on('data', data => {
          if (!connection.silent) to.write(data);
        });
        from.on('error', () => {});
        from.on('close', () => {
          if (!connection.silent) to.destroy();
        });
      };
      forward(near, far);
      forward(far, near);
    });
    const proxy = new Proxy(server);
    await new Promise<void>(resolve => server.listen(0, ADDRESS, resolve));
    cleanups.push(() => proxy.close());
    return proxy;
  }

  get port(): number {
    return (this.server.address() as {port: number}).port;
  }

  close(): void {
    this.server.close();
    for (const {near, far} of this.connections) {
      near.destroy();
      far.destroy();
    }
  }
}

/** Hosts a and b, connected through a proxy. */
async function startPair(options: {limits?: Partial<PeerLimits>} = {}) {
  const a = await startHost('a', {...options, region: 'north'});
  const b = await startHost('b', {...options, region: 'south'});
  const proxy = await Proxy.create(b.port);
  b.mesh.handle(ECHO, async (_peer, text) => Right(text));
  b.mesh.setPeers([peerAddress('a', a.port)]);
  a.mesh.setPeers([peerAddress('b', proxy.port)]);
  await connected(a, 'b');
  await connected(b, 'a');
  return {a, b, proxy};
}

function connected(host: Host, ...peers: string[]): Promise<void> {
  return vi.waitFor(
    () => expect(host.mesh.livePeers()).toEqual(peers),
    waitOptions,
  );
}

/** Opens a raw TCP connection without a handshake. */
async function openRaw(port: number) {
  const socket = connect({host: ADDRESS, port});
  socket.on('error', () => {});
  cleanups.push(() => socket.destroy());
  await new Promise(resolve => socket.once('connect', resolve));
  const closed = new Promise<void>(resolve =>
    socket.once('close', () => resolve()),
  );
  return {socket, closed};
}

function message(body: object): Buffer {
  return encodeFrame({
    time: {wall: 1, counter: 0},
    message: {jsonrpc: '2.0', ...body},
  });
}

function helloFrame(fields: object = {}): Buffer {
  const value = {
    protocolVersion: 1,
    name: 'a',
    incarnation: '1',
    startedAt: 1,
    region: 'r',
    availabilityZone: 'z',
    ...fields,
  };
  return message({id: 0, method: 'hello', params: {value}});
}

async function firstAnswer(socket: Socket): Promise<unknown> {
  for await (const frame of readFrames(socket, 1_000_000)) {
    return JSON.parse(frame.toString()).message.result;
  }
  return undefined;
}

describe('PeerMesh over real sockets', () => {
  // Guards against an established connection that stays silent and is never
  // replaced, although new connections work.
  it('replaces a connection that silently drops all bytes', async () => {
    const {a, b, proxy} = await startPair();
    proxy.connections[0]!.silent = true;
    const lost = await a.mesh.call('b', ECHO, 'x', callDeadline());
    expect(codeOf(lost)).toBe('uncertain');
    await vi.waitFor(
      () => expect(proxy.connections).toHaveLength(2),
      waitOptions,
    );
    await connected(a, 'b');
    await connected(b, 'a');
    expect(await a.mesh.call('b', ECHO, 'y', callDeadline())).toEqual(
      Right('y'),
    );
    expect(a.metrics.value('peers.silent_connections')).toBe(1);
  });

  // Guards against use of a connection whose other side has closed its half.
  it('reconnects after the peer ends its half', async () => {
    const {a, proxy} = await startPair();
    proxy.connections[0]!.near.end();
    await vi.waitFor(
      () => expect(proxy.connections).toHaveLength(2),
      waitOptions,
    );
    await connected(a, 'b');
    expect(await a.mesh.call('b', ECHO, 'y', callDeadline())).toEqual(
      Right('y'),
    );
  });

  // Guards against memory allocated for a frame length that a peer merely
  // announces, and against a process crash on bytes that form no message.
  it('closes connections that send malformed or oversized frames', async () => {
    const {b} = await startHost('b').then(b => ({b}));
    const oversized = await openRaw(b.port);
    oversized.socket.write(Buffer.from([0x7f, 0xff, 0xff, 0xff, 1, 2, 3]));
    oversized.socket.resume();
    await oversized.closed;
    const malformed = await openRaw(b.port);
    malformed.socket.write(Buffer.from([0, 0, 0, 2, 0x7b, 0x7b]));
    malformed.socket.resume();
    await malformed.closed;
    expect(b.metrics.value('peers.malformed_frames')).toBe(2);
  });

  // Guards against malformed frames after a valid hello, which another code
  // path reads.
  it('reconnects after a malformed frame on an open connection', async () => {
    const {a, proxy} = await startPair();
    proxy.connections[0]!.near.write(Buffer.from([0, 0, 0, 1, 0x21]));
    await vi.waitFor(
      () => expect(proxy.connections).toHaveLength(2),
      waitOptions,
    );
    await connected(a, 'b');
    expect(a.metrics.value('peers.malformed_frames')).toBe(1);
  });

  // Guards against a send buffer that grows without bound while the peer does
  // not read, and against a refusal that is reported as a lost answer.
  it('refuses calls to a slow reader when the buffer is full', async () => {
    const limits = {
      maximumSendBufferBytes: 256 * 1024,
      maximumFrameBytes: 128 * 1024,
    };
    const {a, proxy} = await startPair({limits});
    proxy.connections[0]!.near.pause();
    const text = 'x'.repeat(100 * 1024);
    const codes = new Set<string>();
    // The operating system buffers some megabytes before Node does.
    for (let index = 0; index < 200; index++) {
      void a.mesh
        .call('b', ECHO, text, callDeadline())
        .then(outcome => codes.add(codeOf(outcome)));
    }
    await vi.waitFor(() => expect(codes).toContain('unavailable'), waitOptions);
    await connected(a, 'b');
  });

  // Guards against an unbounded number of pending calls.
  it('refuses calls beyond the limit of calls in flight', async () => {
    const {a, b} = await startPair({limits: {maximumCallsInFlight: 2}});
    const never: PeerMethod<null, null> = {
      name: 'never',
      parameters: z.null(),
      result: z.null(),
    };
    b.mesh.handle(never, () => new Promise(() => {}));
    void a.mesh.call('b', never, null, callDeadline());
    void a.mesh.call('b', never, null, callDeadline());
    const third = await a.mesh.call('b', ECHO, 'x', callDeadline());
    expect(codeOf(third)).toBe('unavailable');
  });

  // Guards against a message over the frame limit that closes the connection
  // and so fails all other calls on it.
  it('refuses a message over the frame limit', async () => {
    const {a, proxy} = await startPair({limits: {maximumFrameBytes: 1_000}});
    const outcome = await a.mesh.call(
      'b',
      ECHO,
      'x'.repeat(1_000),
      callDeadline(),
    );
    expect(codeOf(outcome)).toBe('invalid-input');
    expect(await a.mesh.call('b', ECHO, 'y', callDeadline())).toEqual(
      Right('y'),
    );
    expect(proxy.connections).toHaveLength(1);
  });

  // Guards against peers of different protocol versions that misread each
  // other's messages.
  it('refuses another protocol version and gives the reason', async () => {
    const b = await startHost('b');
    b.mesh.setPeers([peerAddress('a', 1)]);
    const {socket, closed} = await openRaw(b.port);
    socket.write(helloFrame({protocolVersion: 2}));
    expect(await firstAnswer(socket)).toMatchObject({
      outcome: 'refused',
      failure: {code: 'refused', details: {reason: 'protocol-version'}},
    });
    await closed;
    expect(b.mesh.livePeers()).toEqual([]);
  });

  // Guards against a restarted process that cannot connect until the
  // connection of its predecessor times out, and against two processes of one
  // name that replace each other's connection in turn.
  it('prefers the later incarnation of a name', async () => {
    const b = await startHost('b', {silenceMilliseconds: 10_000});
    b.mesh.setPeers([peerAddress('a', 1)]);
    const seen: Array<string | undefined> = [];
    const identify: PeerMethod<null, null> = {
      name: 'who',
      parameters: z.null(),
      result: z.null(),
    };
    b.mesh.handle(identify, async peer => {
      seen.push(peer.incarnation);
      return Right(null);
    });
    const who = message({id: 1, method: 'who', params: {value: null}});
    const first = await openRaw(b.port);
    first.socket.write(helloFrame({incarnation: 'x', startedAt: 1}));
    first.socket.write(who);
    first.socket.resume();
    await vi.waitFor(() => expect(seen).toEqual(['x']), waitOptions);
    const second = await openRaw(b.port);
    second.socket.write(helloFrame({incarnation: 'w', startedAt: 2}));
    second.socket.write(who);
    second.socket.resume();
    await first.closed;
    await vi.waitFor(() => expect(seen).toEqual(['x', 'w']), waitOptions);
    const third = await openRaw(b.port);
    third.socket.write(helloFrame({incarnation: 'x', startedAt: 1}));
    expect(await firstAnswer(third.socket)).toMatchObject({
      outcome: 'refused',
      failure: {details: {reason: 'duplicate-name'}},
    });
    expect(b.mesh.livePeers()).toEqual(['a']);
  });

  // Guards against a host that restarts on another port and is never
  // reconnected.
  it('reconnects to a peer that restarts with a new address', async () => {
    const {a, b} = await startPair();
    await b.mesh.close();
    await connected(a);
    const next = await startHost('b', {incarnation: '2'});
    next.mesh.handle(ECHO, async (_peer, text) => Right(`new ${text}`));
    next.mesh.setPeers([peerAddress('a', a.port)]);
    a.mesh.setPeers([peerAddress('b', next.port)]);
    await connected(a, 'b');
    expect(await a.mesh.call('b', ECHO, 'x', callDeadline())).toEqual(
      Right('new x'),
    );
    a.mesh.setPeers([]);
    await connected(a);
    await connected(next);
  });

  // Guards against duplicate, late and fabricated replies that complete the
  // wrong call or close the connection.
  it('drops replies that belong to no pending call', async () => {
    const server = createServer();
    await new Promise<void>(resolve => server.listen(0, ADDRESS, resolve));
    cleanups.push(() => server.close());
    const {port} = server.address() as {port: number};
    const a = await startHost('a');
    const accepted = new Promise<Socket>(resolve =>
      server.once('connection', resolve),
    );
    a.mesh.setPeers([peerAddress('b', port)]);
    const socket = await accepted;
    cleanups.push(() => socket.destroy());
    const reply = (id: number, value: unknown) =>
      socket.write(message({id, result: {outcome: 'done', value}}));
    const calls: Array<{id: number; text: string}> = [];
    void (async () => {
      for await (const frame of readFrames(socket, 1_000_000)) {
        const {message: call} = JSON.parse(frame.toString());
        if (call.method === 'hello') {
          reply(0, {...call.params.value, name: 'b'});
        } else if (call.method === 'echo') {
          calls.push({id: call.id, text: call.params.value});
        }
      }
    })().catch(() => {});
    await connected(a, 'b');
    const one = a.mesh.call('b', ECHO, 'one', callDeadline());
    const two = a.mesh.call('b', ECHO, 'two', callDeadline());
    await vi.waitFor(() => expect(calls).toHaveLength(2), waitOptions);
    reply(99, 'invented');
    reply(calls[1]!.id, calls[1]!.text);
    reply(calls[1]!.id, 'duplicate');
    reply(calls[0]!.id, calls[0]!.text);
    expect(await one).toEqual(Right('one'));
    expect(await two).toEqual(Right('two'));
    expect(a.metrics.value('peers.dropped_replies')).toBe(2);
    expect(a.mesh.livePeers()).toEqual(['b']);
  });

  // Guards against uncounted traffic between regions, which is billed, and
  // against counters that differ between the two ends of a connection.
  it('counts traffic by peer and by other region', async () => {
    const {a, b} = await startPair();
    await a.mesh.call('b', ECHO, 'x'.repeat(10_000), callDeadline());
    const sent = a.mesh.traffic.byPeer()['b']!.sentBytes;
    const received = b.mesh.traffic.byOtherRegion()['north']!.receivedBytes;
    expect(sent).toBeGreaterThan(10_000);
    expect(received).toBeGreaterThan(10_000);
    expect(a.mesh.traffic.byOtherRegion()['south']).toEqual(
      a.mesh.traffic.byPeer()['b'],
    );
  });

  // Guards against time lines that show an effect before its cause.
  it('orders events across hosts by message timestamps', async () => {
    const {a, b} = await startPair();
    const note: PeerMethod<null, null> = {
      name: 'note',
      parameters: z.null(),
      result: z.null(),
    };
    b.mesh.handle(note, async () => {
      b.timeline.record('effect');
      return Right(null);
    });
    a.timeline.observe({wall: clock.wallNow() + 60_000, counter: 0});
    a.timeline.record('cause');
    await a.mesh.call('b', note, null, callDeadline());
    const cause = a.timeline.events().find(event => event.kind === 'cause')!;
    const effect = b.timeline.events().find(event => event.kind === 'effect')!;
    expect(compareHybridTime(cause.time, effect.time)).toBeLessThan(0);
  });
});
