import type {LogRecord} from '@cardamomfield/platform';
import {describe, expect, it} from 'vitest';
import {OwnershipFold} from './ownership_fold.js';

const fold = OwnershipFold.create();

function stateAfter(...bodies: unknown[]) {
  return bodies.reduce(
    (state: ReturnType<typeof fold.initial>, body, offset) =>
      fold.apply(state, {offset, appendedAt: 0, body} as LogRecord),
    fold.initial(),
  );
}

function claim(process: string, replaces: number, group = 'rack-1') {
  const groups = [{group, replaces, deputy: null}];
  return {kind: 'claim', process, incarnation: `${process}-1`, groups};
}

function release(process: string, epoch: number, incarnation = `${process}-1`) {
  const groups = [{group: 'rack-1', epoch, successor: null}];
  return {kind: 'release', process, incarnation, groups};
}

function proposal(base: number, ...members: string[]) {
  return {kind: 'voters-proposed', base, members, process: 'a'};
}

describe('OwnershipFold', () => {
  // Guards against two owners of one group: both claims replace the same
  // epoch, and only the first in the log may be accepted.
  it('accepts the first of two claims that replace the same epoch', () => {
    const state = stateAfter(claim('a', -1), claim('b', 0), claim('c', 0));
    const latest = state.claims.get('rack-1');
    expect(latest).toMatchObject({process: 'b', epoch: 1, isImmediate: false});
  });

  // Guards against a claim that takes effect without a wait while the previous
  // owner may still hold authority.
  it('marks a claim immediate only for a new group or a released epoch', () => {
    const first = stateAfter(claim('a', -1));
    expect(first.claims.get('rack-1')?.isImmediate).toBe(true);
    const released = stateAfter(claim('a', -1), release('a', 0), claim('b', 0));
    expect(released.claims.get('rack-1')?.isImmediate).toBe(true);
    const late = stateAfter(claim('a', -1), claim('b', 0), release('a', 0));
    expect(late.claims.get('rack-1')).toMatchObject({
      process: 'b',
      released: null,
    });
  });

  // Guards against a restarted process that releases a claim of its previous
  // incarnation: it can't know whether that claim took effect.
  it('ignores a release by another incarnation', () => {
    const state = stateAfter(claim('a', -1), release('a', 0, 'a-2'));
    expect(state.claims.get('rack-1')?.released).toBeNull();
  });

  // Guards against split brain: sets that differ by more than one host can
  // have majorities without a common host.
  it('accepts only proposals that change the voters by one host', () => {
    const state = stateAfter(
      proposal(-1, 'a', 'b', 'c'),
      proposal(0, 'a', 'b', 'c', 'd', 'e'),
      proposal(0, 'a', 'b', 'd'),
      proposal(0, 'a', 'b', 'c', 'd'),
      proposal(0, 'a', 'b'),
    );
    expect(state.voters).toEqual({
      offset: 3,
      version: 0,
      members: ['a', 'b', 'c'],
      pending: ['a', 'b', 'c', 'd'],
    });
  });

  it('accepts a confirmation of the pending proposal only', () => {
    const change = [proposal(-1, 'a'), proposal(0, 'a', 'b')];
    const confirm = (offset: number) => ({
      kind: 'voters-confirmed',
      proposal: offset,
    });
    expect(stateAfter(...change, confirm(0)).voters.pending).not.toBeNull();
    expect(stateAfter(...change, confirm(1)).voters).toEqual({
      offset: 2,
      version: 2,
      members: ['a', 'b'],
      pending: null,
    });
  });

  // Guards against a cluster that operators can't recover after the permanent
  // loss of a majority.
  it('resets the voters and drops a pending proposal', () => {
    const reset = {kind: 'voters-reset', members: ['x', 'y'], editor: 'op'};
    const state = stateAfter(proposal(-1, 'a'), proposal(0, 'a', 'b'), reset);
    expect(state.voters).toMatchObject({members: ['x', 'y'], pending: null});
  });

  // Guards against a process that starts from a snapshot and then has other
  // epochs than its peers.
  it('restores the same state from a snapshot', () => {
    const state = stateAfter(
      proposal(-1, 'a', 'b'),
      claim('a', -1),
      release('a', 1),
    );
    const copy: unknown = JSON.parse(JSON.stringify(fold.toSnapshot(state)));
    expect(fold.fromSnapshot(copy)).toEqual(state);
    expect(fold.fromSnapshot({voters: 1})).toBeUndefined();
  });
});
