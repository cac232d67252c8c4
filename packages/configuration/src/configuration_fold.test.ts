import type {Rack, Worker} from '@cardamomfield/types';
import {describe, expect, it} from 'vitest';
import {ConfigurationFold} from './configuration_fold.js';
import type {ConfigurationHistory} from './configuration_history.js';
import {emptyConfiguration} from './empty_configuration.js';
import {toState} from './to_state.js';

const fold = ConfigurationFold.create();

function rack(name: string, region = 'sahel-centre'): Rack {
  return {name, region, availabilityZone: 'a'};
}

function worker(name: string, rackName: string, port: number): Worker {
  return {
    name,
    address: `http://127.0.0.1:${port}`,
    rack: rackName,
    services: ['desk'],
    capacity: {
      processorMillicores: 32_000,
      memoryBytes: 128,
      accelerators: 0,
      slots: 8,
      connections: 64,
    },
    state: 'active',
  };
}

interface Edit {
  base?: number;
  editor?: string;
  put?: Record<string, unknown[]>;
  remove?: Record<string, string[]>;
}

/** Applies records at the offsets 0, 1, 2 and so on. */
function replay(bodies: unknown[], from = fold.initial(), first = 0) {
  return bodies.reduce<ConfigurationHistory>(
    (history, body, index) =>
      fold.apply(history, {
        offset: first + index,
        appendedAt: 0,
        body: JSON.parse(JSON.stringify(body)) as never,
      }),
    from,
  );
}

function edit({base = -1, editor = 'amal', put, remove}: Edit) {
  return {base, editor, change: {kind: 'delta', put, remove}};
}

const SERVICES = [{name: 'desk', teams: []}];
const FIRST = edit({
  put: {
    racks: [rack('r1')],
    services: SERVICES,
    workers: [worker('w1', 'r1', 1)],
  },
});

function lastVerdict(bodies: unknown[]) {
  return replay(bodies).verdicts.at(-1)!;
}

describe('ConfigurationFold', () => {
  // Guards against a version that is not the offset of the accepted record.
  it('accepts changes and counts versions by offset', () => {
    const history = replay([
      FIRST,
      {nonsense: 1},
      edit({put: {racks: [rack('r2')]}}),
    ]);
    expect(history.version).toBe(2);
    expect(Object.keys(toState(history.items).racks)).toEqual(['r1', 'r2']);
    expect(history.verdicts.map(verdict => verdict.outcome)).toEqual([
      'accepted',
      'refused',
      'accepted',
    ]);
  });

  // Guards against a lost edit: the second of two racing editors must not
  // overwrite what the first one changed.
  it('refuses a stale base that touches a changed item and names the winner', () => {
    const verdict = lastVerdict([
      FIRST,
      edit({base: 0, editor: 'amal', put: {racks: [rack('r1', 'tunis-nord')]}}),
      edit({base: 0, editor: 'badr', put: {racks: [rack('r1', 'sfax-sud')]}}),
    ]);
    expect(verdict).toMatchObject({
      outcome: 'refused',
      editor: 'badr',
      reason: {
        code: 'stale-base',
        winner: {offset: 1, editor: 'amal', item: 'racks/r1'},
      },
    });
  });

  // Guards against editors of unrelated items who block one another.
  it('accepts a stale base that touches other items', () => {
    const verdict = lastVerdict([
      FIRST,
      edit({base: 0, put: {racks: [rack('r2')]}}),
      edit({base: 0, put: {racks: [rack('r3')]}}),
    ]);
    expect(verdict.outcome).toBe('accepted');
  });

  // Guards against the return of an item that another editor removed.
  it('refuses a stale base that adds a removed item again', () => {
    const verdict = lastVerdict([
      FIRST,
      edit({base: 0, remove: {workers: ['w1']}}),
      edit({base: 0, put: {workers: [worker('w1', 'r1', 1)]}}),
    ]);
    expect(verdict).toMatchObject({
      reason: {code: 'stale-base', winner: {offset: 1}},
    });
  });

  // Guards against a lost edit after the record of a removal was pruned, and
  // against records of removals that use up the memory.
  it('refuses a base older than the pruned removals', () => {
    const names = Array.from({length: 4_097}, (_, index) => `gone-${index}`);
    const teams = names.map(name => ({
      name,
      quota: worker('x', 'r', 1).capacity,
    }));
    const bodies = [
      edit({put: {teams}}),
      ...[0, 1].map(part =>
        edit({
          base: 0,
          remove: {teams: names.slice(part * 2_500, part * 2_500 + 2_500)},
        }),
      ),
    ];
    const history = replay(bodies);
    expect(history.itemVersions.teams.size).toBe(1_597);
    const late = edit({base: 0, put: {teams: [teams[0]]}});
    expect(replay([late], history, 3).verdicts.at(-1)).toMatchObject({
      reason: {code: 'base-too-old'},
    });
    const fresh = edit({base: 2, put: {teams: [teams[0]]}});
    expect(replay([fresh], history, 3).version).toBe(3);
  });

  // Guards against a configuration that names items which do not exist, and
  // against a host that is listed as two workers and so gets twice the work
  // that it has capacity for.
  it.each<[string, Edit]>([
    ['which does not exist', {put: {workers: [worker('w2', 'r9', 2)]}}],
    [
      'which does not exist',
      {put: {workers: [{...worker('w2', 'r1', 2), services: ['x']}]}},
    ],
    ['which does not exist', {put: {services: [{name: 's', teams: ['t9']}]}}],
    ['which does not exist', {put: {rules: [{name: 'r', service: 's9'}]}}],
    ['which does not exist', {put: {rules: [{name: 'r', team: 't9'}]}}],
    ['still has worker w1', {remove: {racks: ['r1']}}],
    ['still run by worker w1', {remove: {services: ['desk']}}],
    ['the same address', {put: {workers: [worker('w2', 'r1', 1)]}}],
    [
      'not an IP number',
      {put: {workers: [{...worker('w2', 'r1', 2), address: 'http://host:1'}]}},
    ],
  ])('refuses a broken reference: %s %#', (message, change) => {
    const verdict = lastVerdict([FIRST, edit({base: 0, ...change})]);
    expect(verdict).toMatchObject({reason: {code: 'broken-reference'}});
    expect(JSON.stringify(verdict)).toContain(message);
  });

  // Guards against an address that stays reserved after its worker has moved.
  it('accepts the old address of a moved worker for another worker', () => {
    const history = replay([
      FIRST,
      edit({base: 0, put: {workers: [worker('w1', 'r1', 5)]}}),
      edit({base: 0, put: {workers: [worker('w2', 'r1', 1)]}}),
      edit({base: 0, put: {workers: [worker('w3', 'r1', 5)]}}),
    ]);
    expect(history.version).toBe(2);
  });

  // Guards against the removal of a team that services or rules still name.
  it.each<Record<string, unknown[]>>([
    {services: [{name: 's', teams: ['t1']}]},
    {rules: [{name: 'r', team: 't1'}]},
  ])('refuses to remove a team in use %#', put => {
    const quota = worker('x', 'r', 1).capacity;
    const verdict = lastVerdict([
      edit({put: {teams: [{name: 't1', quota}], ...put}}),
      edit({base: 0, remove: {teams: ['t1']}}),
    ]);
    expect(verdict).toMatchObject({reason: {code: 'broken-reference'}});
  });

  // Guards against a rack and its workers that can't be removed in one change.
  it('accepts the removal of a rack together with its workers', () => {
    const change = edit({base: 0, remove: {racks: ['r1'], workers: ['w1']}});
    expect(replay([FIRST, change]).version).toBe(1);
  });

  // Guards against the acceptance of a malformed record, which another program
  // or a fault can write.
  it.each([
    [null],
    [{base: 0, editor: 'amal', change: {kind: 'delta', put: {pods: []}}}],
    [edit({base: 0})],
    [edit({base: 1, put: {racks: [rack('r2')]}})],
    [edit({base: 0, put: {racks: [rack('r2'), rack('r2')]}})],
    [edit({base: 0, put: {racks: [rack('r1')]}, remove: {racks: ['r1']}})],
    [
      {
        base: 0,
        editor: 'a',
        change: {
          kind: 'snapshot',
          state: {...emptyConfiguration(), racks: {r2: rack('r3')}},
        },
      },
    ],
  ])('refuses a malformed record %#', body => {
    const history = replay([FIRST, body]);
    expect(history.version).toBe(0);
    expect(history.verdicts.at(-1)).toMatchObject({
      reason: {code: 'malformed'},
    });
  });

  // Guards against a misspelled removal that seems to have worked.
  it('refuses the removal of an item that does not exist', () => {
    const verdict = lastVerdict([
      FIRST,
      edit({base: 0, remove: {racks: ['r9']}}),
    ]);
    expect(verdict).toMatchObject({reason: {code: 'not-found'}});
  });

  // Guards against a snapshot that overwrites the change of another editor, and
  // against the refusal of a snapshot that contains this change.
  it('changes only the items in which a snapshot differs', () => {
    const start = replay([FIRST]);
    const change = edit({base: 0, editor: 'badr', put: {racks: [rack('r2')]}});
    const snapshot = (state: unknown) => ({
      base: 0,
      editor: 'amal',
      change: {kind: 'snapshot', state},
    });
    const stale = replay([FIRST, change, snapshot(toState(start.items))]);
    expect(stale.verdicts.at(-1)).toMatchObject({
      reason: {code: 'stale-base', winner: {offset: 1, editor: 'badr'}},
    });
    const state = toState(replay([FIRST, change]).items);
    const more = {...state, racks: {...state.racks, r3: rack('r3')}};
    const merged = replay([FIRST, change, snapshot(more)]);
    expect(merged.version).toBe(2);
    expect(merged.itemVersions.racks.get('r2')).toMatchObject({offset: 1});
    expect(merged.itemVersions.racks.get('r3')).toMatchObject({offset: 2});
  });

  // Guards against a fold that changes an earlier state, or that continues
  // differently from a snapshot than from the records.
  it('is pure and continues from a snapshot', () => {
    const first = replay([FIRST]);
    const copy = JSON.stringify(fold.toSnapshot(first));
    const later = [
      edit({base: 0, remove: {workers: ['w1']}}),
      edit({base: 0, put: {workers: [worker('w1', 'r1', 1)]}}),
    ];
    const whole = replay(later, first, 1);
    expect(JSON.stringify(fold.toSnapshot(first))).toBe(copy);
    const snapshot: unknown = JSON.parse(
      JSON.stringify(fold.toSnapshot(first)),
    );
    const resumed = replay(later, fold.fromSnapshot(snapshot), 1);
    expect(fold.toSnapshot(resumed)).toEqual(fold.toSnapshot(whole));
    expect(fold.fromSnapshot({version: 1})).toBeUndefined();
  });

  // Guards against a lookup that finds a property which every object inherits,
  // for a caller whose service has the name of such a property.
  it('finds no item under an inherited name', () => {
    const history = replay([FIRST]);
    expect(toState(history.items).services['constructor']).toBeUndefined();
    const again = fold.fromSnapshot(fold.toSnapshot(history))!;
    expect(toState(again.items).services['constructor']).toBeUndefined();
    const verdict = lastVerdict([
      edit({put: {workers: [worker('w', 'toString', 1)]}}),
    ]);
    expect(verdict).toMatchObject({reason: {code: 'broken-reference'}});
  });

  // Guards against a list of verdicts that grows without limit.
  it('keeps a bounded list of verdicts', () => {
    const history = replay(Array.from({length: 600}, () => null));
    expect(history.verdicts).toHaveLength(512);
    expect(history.verdicts.at(-1)!.offset).toBe(599);
  });
});
