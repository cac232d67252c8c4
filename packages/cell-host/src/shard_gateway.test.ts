import {Worker} from 'node:worker_threads';
import type {Queue, SubmissionSpecification} from '@cardamomfield/cell-model';
import {SubmissionLimits} from '@cardamomfield/cell-scheduler';
import {type Clock, ManualClock, SystemClock} from '@cardamomfield/clock';
import {
  ForbiddenError,
  OverloadedError,
  type TypedError,
  UnauthenticatedError,
  UncertainError,
} from '@cardamomfield/errors';
import {SilentLogger} from '@cardamomfield/logger';
import type {ShardOwner} from '@cardamomfield/shard-owner';
import {Left, Right} from 'purify-ts';
import {expect, it, vi} from 'vitest';
import {hostFixture} from './host_fixture.js';
import {Membership} from './membership.js';
import {ownerFixture} from './owner_fixture.js';
import type {PeerClient} from './peer_client.js';
import {ShardGateway} from './shard_gateway.js';

/** Shortest time limit that gives a busy owner a chance to answer. */
const USEFUL_CALL_MILLISECONDS = 200;

const QUEUE: Queue = {
  name: 'queue',
  host: 'host',
  pathPrefix: '/',
  service: 'service',
  priority: 1,
  maximumAttempts: 3,
  stretchFactor: 1,
  targetLatencyMilliseconds: 400,
  timeoutMilliseconds: 3_000,
};

const SPECIFICATION: SubmissionSpecification = {
  payload: '',
  steps: [],
  occurrenceCount: 0,
  firstOccurrenceAtUnixMilliseconds: 0,
  occurrenceIntervalMilliseconds: 0,
};

function createGateway(
  clock: Clock,
  call: PeerClient['call'],
  localOwner?: ShardOwner,
) {
  const logger = SilentLogger.create();
  const membership = Membership.create(hostFixture('host', 324), clock, logger);
  membership.updateOwner(ownerFixture('owner', 3), 'news');
  return ShardGateway.create({
    membership,
    peers: {call} as unknown as PeerClient,
    clock,
    localOwner: () => localOwner,
    limits: SubmissionLimits.create({recordBytes: 1, memoryBytes: 1}),
  });
}

// Guards against a busy owner that gets every slow request twice: the second
// call has next to no time for an answer, and its time-out replaces all
// connections to the owner.
it('does not call the owner again without time for an answer', async () => {
  const clock = ManualClock.create();
  const timeouts: number[] = [];
  const call = async (...parameters: unknown[]) => {
    const timeout = parameters[4] as number;
    timeouts.push(timeout);
    await clock.sleepUntil(clock.monotonicNow() + timeout);
    return Left(UncertainError.create('timed out'));
  };
  const gateway = createGateway(clock, call);
  void gateway.show('00000000000000aa', clock.monotonicNow() + 3_000);
  await clock.advance(3_000);
  expect(
    timeouts.filter(timeout => timeout < USEFUL_CALL_MILLISECONDS),
  ).toEqual([]);
});

// Guards against hosts that repeat a refused call, which the owner refuses again,
// or answer it as one whose outcome is unknown.
it('returns a refusal of the owner at once', async () => {
  for (const {create} of [
    UnauthenticatedError,
    ForbiddenError,
    OverloadedError,
  ]) {
    const clock = ManualClock.create();
    const refusal = create('refused');
    const call = vi.fn(async () => Left(refusal));
    const gateway = createGateway(clock, call);
    const answer = await gateway.cancel('00000000000000aa', 3_000);
    expect(answer.extract()).toBe(refusal);
    expect(call).toHaveBeenCalledTimes(1);
  }
});

// Guards against a 429, which promises that the submission never runs, while an
// earlier attempt may still be carried out.
it('does not promise a refusal while an earlier attempt is in doubt', async () => {
  const clock = ManualClock.create();
  const call = vi
    .fn(async () => Left<TypedError>(OverloadedError.create('full')))
    .mockResolvedValueOnce(Left(UncertainError.create('timed out')));
  const gateway = createGateway(clock, call);
  const answer = gateway.cancel('00000000000000aa', 3_000);
  await clock.advance(3_000);
  expect((await answer).extract()).toBeInstanceOf(UncertainError);
});

/** Submits to an owner that gives the errors as its answers, in this order. */
async function submitTo(answers: TypedError[]) {
  const clock = ManualClock.create();
  const logger = SilentLogger.create();
  const membership = Membership.create(hostFixture('host', 324), clock, logger);
  membership.updateOwner(ownerFixture('owner', 3), 'news');
  let calls = 0;
  const call = async () => Left(answers[calls++]!);
  const gateway = ShardGateway.create({
    membership,
    peers: {call} as unknown as PeerClient,
    clock,
    localOwner: () => undefined,
    limits: SubmissionLimits.create({recordBytes: 1e6, memoryBytes: 1e6}),
  });
  const submitted = gateway.submit(
    '00000000000000aa',
    QUEUE,
    SPECIFICATION,
    clock.monotonicNow() + 3_000,
  );
  await clock.advance(3_000);
  return {error: (await submitted).extract(), calls};
}

const REFUSAL = OverloadedError.create('full', {retryAfterMilliseconds: 2_000});

// Guards against hosts that repeat what the owner refused under load, and that
// lose the time at which the caller should come back.
it('passes a refusal under load on at once', async () => {
  expect(await submitTo([REFUSAL])).toEqual({error: REFUSAL, calls: 1});
});

// Guards against a caller that is told that its submission never runs although
// an earlier call may still be carried out.
it('keeps a submission in doubt when a later call is refused', async () => {
  const {error, calls} = await submitTo([
    UncertainError.create('timed out'),
    REFUSAL,
  ]);
  expect({error, calls}).toEqual({error: expect.any(UncertainError), calls: 2});
});

// Guards against 504 for calls that the log took in time: on a host whose event
// loop is busy, timers fire before the answer of the store is read.
it('accepts an answer that arrived in time while the process was busy', async () => {
  const store = new Worker(
    `const {parentPort} = require('node:worker_threads');
    parentPort.on('message', () =>
      setTimeout(() => parentPort.postMessage('recorded'), 50));`,
    {eval: true},
  );
  const cancel = () =>
    new Promise(resolve => {
      store.once('message', () => resolve(Right({})));
      store.postMessage('record');
    });
  await cancel();
  const clock = SystemClock.create();
  const owner = {cancel} as unknown as ShardOwner;
  const cancelled = createGateway(clock, vi.fn(), owner).cancel(
    '00000000000000aa',
    clock.monotonicNow() + 200,
  );
  // Timers are the first callbacks to run after an immediate.
  await new Promise(resolve => setImmediate(resolve));
  Atomics.wait(new Int32Array(new SharedArrayBuffer(4)), 0, 0, 600);
  expect((await cancelled).isRight()).toBe(true);
  await store.terminate();
});
