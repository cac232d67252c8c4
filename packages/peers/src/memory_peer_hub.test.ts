import {ManualClock} from '@cardamomfield/clock';
import type {HeartbeatSection, PeerMethod} from '@cardamomfield/peer-protocol';
import {type Either, Right} from 'purify-ts';
import {beforeEach, describe, expect, it} from 'vitest';
import {z} from 'zod';
import {MemoryPeerHub} from './memory_peer_hub.js';
import type {MemoryPeerNetwork} from './memory_peer_network.js';

const ADD: PeerMethod<{by: number}, number> = {
  name: 'add',
  parameters: z.strictObject({by: z.int()}),
  result: z.int(),
};

const LOAD: HeartbeatSection<number> = {name: 'load', schema: z.int()};

describe('MemoryPeerHub', () => {
  let clock: ManualClock;
  let hub: MemoryPeerHub;
  let hostA: MemoryPeerNetwork;
  let hostB: MemoryPeerNetwork;
  let total: number;

  beforeEach(() => {
    clock = ManualClock.create();
    hub = MemoryPeerHub.create({clock});
    hostA = hub.join({name: 'a'});
    hostB = hub.join({name: 'b'});
    total = 0;
    hostB.handle(ADD, async (_peer, {by}) => Right((total += by)));
  });

  /** Calls `add` on host b; `outcome` is set when the call ends. */
  function add(deadline: number): {outcome?: Either<unknown, number>} {
    const call: {outcome?: Either<unknown, number>} = {};
    void hostA
      .call('b', ADD, {by: 1}, clock.monotonicNow() + deadline)
      .then(outcome => (call.outcome = outcome));
    return call;
  }

  const codeOf = (call: {outcome?: Either<unknown, number>}) =>
    call.outcome
      ?.swap()
      .map(error => (error as {code: string}).code)
      .extract();

  // Guards against a delay that is applied in the wrong direction or not at
  // all, which would invalidate every latency test.
  it('delays each direction by its own amount', async () => {
    hub.setDelay('a', 'b', 10);
    hub.setDelay('b', 'a', 30);
    const call = add(100);
    await clock.advance(9);
    expect(total).toBe(0);
    await clock.advance(1);
    expect(total).toBe(1);
    await clock.advance(29);
    expect(call.outcome).toBeUndefined();
    await clock.advance(1);
    expect(call.outcome).toEqual(Right(1));
  });

  // Guards against a lost answer that is reported as a call without effect.
  it('drops an answer after the handler ran', async () => {
    hub.loseAnswers('a', 'b', 1);
    const call = add(100);
    await clock.advance(100);
    expect(total).toBe(1);
    expect(codeOf(call)).toBe('uncertain');
  });

  // Guards against a one-way cut that also stops the other direction, and
  // against held messages that never arrive.
  it('holds messages of a cut direction until it is healed', async () => {
    hub.cutOneWay('a', 'b');
    const call = add(100);
    await clock.advance(100);
    expect(codeOf(call)).toBe('uncertain');
    expect(total).toBe(0);
    hub.healOneWay('a', 'b');
    await clock.advance(0);
    expect(total).toBe(1);
    expect(hostA.droppedAnswers).toBe(1);
  });

  // Guards against hosts that list a peer as live although they receive
  // nothing from it, and against a cut that persists after it is healed.
  it('drops a cut peer after the silence limit and reconnects', async () => {
    let changes = 0;
    hostB.onPeersChange(() => changes++);
    hub.cutOneWay('a', 'b');
    await clock.advance(2_000);
    expect(hostB.livePeers()).toEqual([]);
    expect(hostA.livePeers()).toEqual([]);
    expect(codeOf(await settled(add(100)))).toBe('unavailable');
    hub.healOneWay('a', 'b');
    await clock.advance(200);
    expect(hostB.livePeers()).toEqual(['a']);
    expect(changes).toBe(2);
  });

  // Guards against a paused host that still runs handlers. Calls must be
  // handled after the resume and must not be lost.
  it('runs the handlers of a paused host after it resumes', async () => {
    hub.pause('b');
    const call = add(5_000);
    await clock.advance(1_000);
    expect(total).toBe(0);
    hub.resume('b');
    await clock.advance(0);
    expect(total).toBe(1);
    expect(call.outcome).toEqual(Right(1));
  });

  // Guards against a paused host that sends a call during its pause.
  it('holds the calls of a paused host', async () => {
    hub.pause('a');
    const call = add(5_000);
    await clock.advance(500);
    expect(total).toBe(0);
    hub.resume('a');
    await clock.advance(0);
    expect(call.outcome).toEqual(Right(1));
  });

  // Guards against a silent connection that is never replaced.
  it('replaces a silent connection', async () => {
    hub.silenceConnection('a', 'b');
    const call = add(10_000);
    await clock.advance(2_000);
    expect(codeOf(call)).toBe('uncertain');
    await clock.advance(200);
    expect(await settled(add(100))).toEqual({outcome: Right(1)});
  });

  // Guards against values of an earlier incarnation that are attributed to the
  // next one.
  it('discards the sections of an earlier incarnation', async () => {
    hostB.publish(LOAD, () => 7);
    await clock.advance(500);
    expect(hostA.latest('b', LOAD)).toEqual({value: 7, receivedAt: 500});
    hub.kill('b');
    await clock.advance(0);
    expect(hostA.livePeers()).toEqual([]);
    hub.join({name: 'b'});
    await clock.advance(200);
    expect(hostA.livePeers()).toEqual(['b']);
    expect(hostA.latest('b', LOAD)).toBeUndefined();
  });

  async function settled<Call extends object>(call: Call): Promise<Call> {
    await clock.advance(0);
    return call;
  }
});
