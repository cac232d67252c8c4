import {
  type Clock,
  SeededRandomSource,
  SystemClock,
} from '@cardamomfield/clock';
import {ConflictError, type TypedError} from '@cardamomfield/errors';
import {SilentLogger} from '@cardamomfield/logger';
import {MemoryMetrics} from '@cardamomfield/metrics';
import type {
  HeartbeatSection,
  PeerMethod,
  PeerNetwork,
} from '@cardamomfield/peer-protocol';
import {Timeline} from '@cardamomfield/timeline';
import {type Either, Left, Right} from 'purify-ts';
import {afterEach, beforeEach, describe, expect, it, vi} from 'vitest';
import {z} from 'zod';
import {MemoryPeerHub} from './memory_peer_hub.js';
import {PeerMesh} from './peer_mesh.js';

const ECHO: PeerMethod<{text: string}, {text: string; caller: string}> = {
  name: 'echo',
  parameters: z.strictObject({text: z.string().max(10)}),
  result: z.strictObject({text: z.string(), caller: z.string()}),
};
const FORGET: PeerMethod<null, void> = {
  name: 'forget',
  parameters: z.null(),
  result: z.void(),
};
const LOAD: HeartbeatSection<{tasks: number}> = {
  name: 'load',
  schema: z.strictObject({tasks: z.int()}),
};

interface Cluster {
  networks: [PeerNetwork, PeerNetwork, PeerNetwork];
  /** Stops the third host. */
  stopThird(): Promise<void>;
  close(): Promise<void>;
}

const NAMES = ['a', 'b', 'c'] as const;

function startMemory(clock: Clock): Cluster {
  const hub = MemoryPeerHub.create({clock});
  const [a, b, c] = NAMES.map(name => hub.join({name}));
  return {
    networks: [a!, b!, c!],
    stopThird: async () => hub.kill('c'),
    close: async () => hub.close(),
  };
}

async function startTcp(clock: Clock): Promise<Cluster> {
  const meshes = NAMES.map((name, index) =>
    PeerMesh.create({
      self: {name, incarnation: '1', region: 'r', availabilityZone: 'z'},
      address: '127.0.0.1',
      port: 0,
      clock,
      random: SeededRandomSource.create(index),
      logger: SilentLogger.create(),
      metrics: MemoryMetrics.create(),
      timeline: Timeline.create({process: name, clock}),
    }),
  );
  const peers = [];
  for (const mesh of meshes) {
    const port = (await mesh.listen()).unsafeCoerce();
    peers.push({name: mesh.self, address: '127.0.0.1', port});
  }
  for (const mesh of meshes) mesh.setPeers(peers);
  const [a, b, c] = meshes;
  return {
    networks: [a!, b!, c!],
    stopThird: () => c!.close(),
    close: async () => {
      await Promise.all(meshes.map(mesh => mesh.close()));
    },
  };
}

describe.each([
  ['MemoryPeerNetwork', startMemory],
  ['PeerMesh', startTcp],
])('%s as a PeerNetwork', (_name, start) => {
  const clock = SystemClock.create();
  let cluster: Cluster;
  let a: PeerNetwork;
  let b: PeerNetwork;
  let c: PeerNetwork;

  beforeEach(async () => {
    cluster = await start(clock);
    [a, b, c] = cluster.networks;
    await vi.waitFor(() => {
      expect(a.livePeers()).toEqual(['b', 'c']);
      expect(b.livePeers()).toEqual(['a', 'c']);
      expect(c.livePeers()).toEqual(['a', 'b']);
    });
  });

  afterEach(() => cluster.close());

  const callDeadline = () => clock.monotonicNow() + 10_000;
  const errorOf = (outcome: Either<TypedError, unknown>) =>
    outcome.swap().unsafeCoerce();

  // Guards against calls that work in the dialing direction only, and against
  // a handler that gets the wrong caller identity.
  it('carries calls in both directions of a pair', async () => {
    for (const network of [a, b]) {
      network.handle(ECHO, async (peer, {text}) =>
        Right({text, caller: peer.name}),
      );
    }
    const there = await a.call('b', ECHO, {text: 'x'}, callDeadline());
    const back = await b.call('a', ECHO, {text: 'y'}, callDeadline());
    expect(there).toEqual(Right({text: 'x', caller: 'a'}));
    expect(back).toEqual(Right({text: 'y', caller: 'b'}));
  });

  // Guards against mismatched replies: answers that arrive in another order
  // than their calls must still reach their own callers.
  it('matches answers that arrive in reverse order', async () => {
    const release: Array<() => void> = [];
    b.handle(ECHO, async (peer, {text}) => {
      await new Promise<void>(resolve => release.unshift(resolve));
      return Right({text, caller: peer.name});
    });
    const texts = ['1', '2', '3', '4'];
    const calls = texts.map(text => a.call('b', ECHO, {text}, callDeadline()));
    await vi.waitFor(() => expect(release).toHaveLength(texts.length));
    for (const go of release) {
      go();
      await new Promise(resolve => setImmediate(resolve));
    }
    const outcomes = await Promise.all(calls);
    expect(outcomes.map(outcome => outcome.unsafeCoerce().text)).toEqual(texts);
  });

  // Guards against a result without a value that is refused as malformed.
  it('carries an empty result', async () => {
    b.handle(FORGET, async () => Right(undefined));
    expect(await a.call('b', FORGET, null, callDeadline())).toEqual(
      Right(undefined),
    );
  });

  // Guards against a returned failure that loses its code, and against a
  // handler that throws midway but is reported as without effect.
  it('distinguishes a returned failure from a thrown one', async () => {
    b.handle(ECHO, async () => Left(ConflictError.create('taken', {by: 'x'})));
    b.handle(FORGET, async () => {
      throw new Error('broken');
    });
    const refused = await a.call('b', ECHO, {text: 'x'}, callDeadline());
    expect(errorOf(refused).code).toBe('refused');
    expect(errorOf(refused).details).toMatchObject({code: 'conflict', by: 'x'});
    const thrown = await a.call('b', FORGET, null, callDeadline());
    expect(errorOf(thrown).code).toBe('uncertain');
  });

  // Guards against unchecked parameters and against a missing procedure that
  // is reported as a lost answer.
  it('refuses invalid parameters and unknown procedures', async () => {
    const wrong = await a.call(
      'b',
      ECHO,
      {text: 'x'.repeat(11)},
      callDeadline(),
    );
    expect(errorOf(wrong).code).toBe('invalid-input');
    const unknown = await a.call('b', ECHO, {text: 'x'}, callDeadline());
    expect(errorOf(unknown).code).toBe('refused');
    expect(errorOf(unknown).details.code).toBe('not-found');
  });

  // Guards against a caller that accepts a result that does not match its
  // schema.
  it('reports a result that violates its schema as uncertain', async () => {
    b.handle({...ECHO, result: z.any()}, async () => Right({text: 1}));
    const outcome = await a.call('b', ECHO, {text: 'x'}, callDeadline());
    expect(errorOf(outcome).code).toBe('uncertain');
  });

  // Guards against a call that continues after its deadline, and against a
  // call that is sent although its deadline has passed.
  it('ends calls at their deadlines', async () => {
    let runs = 0;
    b.handle(ECHO, () => {
      runs++;
      return new Promise(() => {});
    });
    const late = a.call('b', ECHO, {text: 'x'}, clock.monotonicNow() + 50);
    expect(errorOf(await late).code).toBe('uncertain');
    const past = a.call('b', ECHO, {text: 'x'}, clock.monotonicNow());
    expect(errorOf(await past).code).toBe('unavailable');
    expect(runs).toBe(1);
  });

  // Guards against calls to unconnected hosts that fail only at their
  // deadline.
  it('refuses calls to hosts that are not connected', async () => {
    const outcome = await a.call('nobody', ECHO, {text: 'x'}, callDeadline());
    expect(errorOf(outcome).code).toBe('unavailable');
  });

  // Guards against a stopped process whose pending calls never end and which
  // stays in the list of live peers.
  it('ends calls and notifies listeners when a peer stops', async () => {
    let changes = 0;
    const unsubscribe = a.onPeersChange(() => changes++);
    let started = false;
    c.handle(ECHO, () => {
      started = true;
      return new Promise(() => {});
    });
    const call = a.call('c', ECHO, {text: 'x'}, callDeadline());
    await vi.waitFor(() => expect(started).toBe(true));
    await cluster.stopThird();
    expect(errorOf(await call).code).toBe('uncertain');
    await vi.waitFor(() => expect(a.livePeers()).toEqual(['b']));
    expect(changes).toBe(1);
    unsubscribe();
  });

  // Guards against heartbeats that repeat an old value or omit a new one, and
  // against unchanged values that seem stale while their sender is alive.
  it('delivers published sections and keeps them current', async () => {
    let tasks = 1;
    b.publish(LOAD, () => ({tasks}));
    await vi.waitFor(
      () => expect(a.latest('b', LOAD)?.value).toEqual({tasks: 1}),
      5_000,
    );
    const first = a.latest('b', LOAD)!;
    await vi.waitFor(() => {
      const again = a.latest('b', LOAD)!;
      expect(again.value).toEqual({tasks: 1});
      expect(again.receivedAt).toBeGreaterThan(first.receivedAt);
    }, 5_000);
    tasks = 2;
    await vi.waitFor(
      () => expect(a.latest('b', LOAD)?.value).toEqual({tasks: 2}),
      5_000,
    );
    expect(a.lastMessageAt('b')).toBeGreaterThan(first.receivedAt);
    expect(a.latest('c', LOAD)).toBeUndefined();
  });

  // Guards against a second handler that silently replaces the first.
  it('rejects a second handler of one procedure', () => {
    a.handle(ECHO, () => new Promise(() => {}));
    expect(() => a.handle(ECHO, () => new Promise(() => {}))).toThrow();
  });
});
