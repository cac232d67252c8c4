import {ManualClock} from '@cardamomfield/clock';
import {
  RefusedError,
  type TypedError,
  UnavailableError,
  UncertainError,
} from '@cardamomfield/errors';
import {SilentLogger} from '@cardamomfield/logger';
import {type Either, Left, Right} from 'purify-ts';
import {afterEach, beforeEach, expect, it} from 'vitest';
import {hostFixture} from './host_fixture.js';
import {Membership} from './membership.js';
import {PeerClient} from './peer_client.js';
import {PeerMessages} from './peer_messages.js';
import {PeerMethod} from './peer_method.js';
import {PeerServer} from './peer_server.js';
import {RemoteAdviser} from './remote_adviser.js';

const TIMEOUT_MILLISECONDS = 200;

type Outcome = Either<TypedError, unknown>;

let server: PeerServer;
let address: string;
let membership: Membership;
let answer: () => Promise<Outcome>;

beforeEach(async () => {
  const logger = SilentLogger.create();
  server = PeerServer.create(logger);
  server.handle(PeerMethod.queryAdvice, PeerMessages.adviceQuery, () =>
    answer(),
  );
  await server.listen('127.0.0.1', 0);
  address = `127.0.0.1:${server.port}`;
  membership = Membership.create(
    hostFixture('self', 1_000),
    ManualClock.create(),
    logger,
  );
});

afterEach(() => server.close());

/** Asks the other host once; true if it counts as responsive afterwards. */
async function isResponsiveAfterQuery(): Promise<boolean> {
  const host = {...hostFixture('other', 1_000), address};
  membership.updateHost(host);
  const adviser = RemoteAdviser.create(PeerClient.create(), host, membership);
  await adviser.ask('step', ['w'], TIMEOUT_MILLISECONDS);
  return membership.responsivePeers().length > 0;
}

// Guards against an owner that keeps using hosts that do not answer: it does
// not ping them, so the queries for advice are what it learns about them by.
it('marks a host that does not answer as unresponsive', async () => {
  answer = () => new Promise(() => {});
  expect(await isResponsiveAfterQuery()).toBe(false);
});

// Guards against the same with a host whose process has ended.
it('marks a host that refuses connections as unresponsive', async () => {
  server.close();
  expect(await isResponsiveAfterQuery()).toBe(false);
});

// Guards against excluding working hosts because the service behind them fails.
it.each([
  RefusedError.create('too many queries'),
  UncertainError.create('timed out'),
  UnavailableError.create('no service', {
    isUnreachable: true,
    isRefused: true,
  }),
])('keeps a host that answers with the failure %s', async failure => {
  answer = async () => Left(failure);
  expect(await isResponsiveAfterQuery()).toBe(true);
});

// Guards against the same when the service takes until the time limit.
it('keeps a host whose call to the service times out', async () => {
  answer = async () => {
    await new Promise(resolve => setTimeout(resolve, TIMEOUT_MILLISECONDS));
    return Left(UncertainError.create('timed out'));
  };
  expect(await isResponsiveAfterQuery()).toBe(true);
});

// Guards against a host that stays excluded although it answers again.
it('marks a host that answers as responsive', async () => {
  answer = async () => Right({tickets: [], validMilliseconds: 1});
  membership.markUnresponsive('other');
  expect(await isResponsiveAfterQuery()).toBe(true);
});
