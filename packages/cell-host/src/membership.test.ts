import {ManualClock} from '@cardamomfield/clock';
import {SilentLogger} from '@cardamomfield/logger';
import {beforeEach, expect, it} from 'vitest';
import {hostFixture} from './host_fixture.js';
import {Membership} from './membership.js';

let membership: Membership;

beforeEach(() => {
  membership = Membership.create(
    hostFixture('self', 1_000),
    ManualClock.create(),
    SilentLogger.create(),
  );
});

function peerNames(): string[] {
  return membership.peers().map(({name}) => name);
}

// Guards against calls to hosts that were removed, each of which runs into its
// time limit: advice for waiting work starved while most hosts were gone.
it('forgets a host that leaves, also if late news name it', () => {
  const host = hostFixture('other', 1_000);
  membership.updateHost(host);
  membership.updateHost({...host, isLeaving: true});
  expect(peerNames()).toEqual([]);
  membership.updateHost(host);
  expect(peerNames()).toEqual([]);
});

it('keeps a host whose former process has left', () => {
  const host = hostFixture('other', 1_000);
  membership.updateHost({...host, incarnation: 'next'});
  membership.updateHost({...host, isLeaving: true});
  expect(peerNames()).toEqual(['other']);
});
