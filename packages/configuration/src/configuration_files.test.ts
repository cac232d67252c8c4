import {readFileSync} from 'node:fs';
import type {ConfigurationState} from '@cardamomfield/types';
import {describe, expect, it} from 'vitest';
import {applyDelta} from './apply_delta.js';
import {checkChange} from './check_change.js';
import {emptyConfiguration} from './empty_configuration.js';
import {inventoryChange} from './inventory_change.js';
import {InventoryFile} from './inventory_file.js';
import {parseFile} from './parse_file.js';
import {resolveRule} from './resolve_rule.js';
import {rulesChange} from './rules_change.js';
import {RulesFile} from './rules_file.js';

const REPLACE_ALL = {keepOthers: false};

function example(name: string) {
  const url = new URL(`../../../examples/${name}`, import.meta.url);
  return {name, text: readFileSync(url, 'utf8')};
}

function load(folder: string, inForce = emptyConfiguration()) {
  const options = {keepOthers: true};
  const inventory = parseFile(
    InventoryFile,
    example(`${folder}/inventory.yaml`),
  );
  const first = inventoryChange(inventory.unsafeCoerce(), inForce, options);
  expect(checkChange(inForce, first)).toBeUndefined();
  const withInventory = applyDelta(inForce, first);
  const rules = parseFile(RulesFile, example(`${folder}/rules.yaml`));
  const second = rulesChange(rules.unsafeCoerce(), withInventory, options);
  expect(checkChange(withInventory, second)).toBeUndefined();
  return applyDelta(withInventory, second);
}

function problemsOf(text: string) {
  const error = parseFile(InventoryFile, {name: 'a.yaml', text})
    .swap()
    .unsafeCoerce();
  return {message: error.message, problems: error.details['problems']};
}

describe('examples', () => {
  // Guards against examples that the current schemas refuse.
  it.each([
    ['federation', 'cortege-desk', 32_000, 128],
    ['franchise', 'dispatch', 16_000, 64],
  ])('loads %s', (folder, service, processorMillicores, gibibytes) => {
    const state = load(folder);
    const workers = Object.values(state.workers);
    expect(workers).toHaveLength(33);
    for (const worker of workers) {
      expect(worker.services).toEqual([service]);
      expect(worker.capacity).toEqual({
        processorMillicores,
        memoryBytes: gibibytes * 2 ** 30,
        accelerators: 0,
        slots: 8,
        connections: 64,
      });
    }
    const regions = Object.values(state.racks).map(rack => rack.region);
    expect(new Set(regions).size).toBe(3);
    for (const rack of Object.keys(state.racks)) {
      const members = workers.filter(worker => worker.rack === rack);
      expect(members.length).toBeLessThanOrEqual(8);
    }
  });

  // Guards against rules that place the services of the watch teams on one rack
  // instead of spreading them, and against items of one example that replace
  // those of the other.
  it('loads both examples into one configuration', () => {
    const state = load('franchise', load('federation'));
    expect(Object.keys(state.workers)).toHaveLength(66);
    expect(Object.keys(state.rules)).toHaveLength(10);
    for (const [service, team] of [
      ['cortege-desk', 'live-watch'],
      ['dispatch', 'standing-watch'],
    ] as const) {
      const rule = resolveRule(state, {service, team, kind: 'service'});
      expect(rule?.policy).toBe('spread');
    }
  });
});

describe('parseFile', () => {
  // Guards against an error message without a position, with which an operator
  // would have to search a long file.
  it('gives line, path and cause of every problem', () => {
    const {message, problems} = problemsOf(`racks:
  - {name: r1, region: amhara, availabilityZone: a}
  - {name: r1, region: amhara}
  - name: r 2
    region: amhara
    availabilityZone: a
services: []
workers: []
pods: []
`);
    expect(problems).toMatchObject([
      {line: 3, path: 'racks[1].availabilityZone'},
      {line: 4, path: 'racks[2].name'},
      {line: 1, path: 'teams'},
      {line: 1, path: ''},
    ]);
    expect(message).toContain('a.yaml:3: racks[1].availabilityZone: ');
    expect(message).toContain('"pods"');
  });

  // Guards against an item that silently replaces one of the same name.
  it('refuses a name that is used twice', () => {
    const {problems} = problemsOf(`racks:
  - {name: r1, region: amhara, availabilityZone: a}
  - {name: r1, region: amhara, availabilityZone: b}
teams: []
services: []
workers: []
`);
    expect(problems).toEqual([
      {line: 3, path: 'racks[1].name', cause: 'r1 is already at racks[0]'},
    ]);
  });

  // Guards against a crash on a file that is not YAML.
  it('gives the line of a syntax error', () => {
    const {problems} = problemsOf('racks:\n  - {name: r1\n');
    expect(problems).toMatchObject([{line: expect.any(Number), path: ''}]);
    expect(problemsOf('').message).toContain('a.yaml');
    expect(problemsOf('racks: *missing').message).toContain('a.yaml');
  });
});

describe('inventoryChange', () => {
  const state: ConfigurationState = load('federation');
  const {text, name} = example('federation/inventory.yaml');
  const file = parseFile(InventoryFile, {name, text}).unsafeCoerce();

  // Guards against a publication that includes items which nobody edited.
  // Changes of other editors to these items would then be refused.
  it('holds only the items that differ', () => {
    const workers = file.workers
      .slice(1)
      .map((worker, index) =>
        index === 0 ? {...worker, address: 'http://10.99.0.1:7000'} : worker,
      );
    const change = inventoryChange({...file, workers}, state, REPLACE_ALL);
    expect(change.put.workers.map(worker => worker.name)).toEqual(['desk-02']);
    expect(change.remove.workers).toEqual(['desk-01']);
    expect(change.put.racks).toEqual([]);
    expect(change.remove.rules).toEqual([]);
    const kept = inventoryChange({...file, workers}, state, {keepOthers: true});
    expect(kept.remove.workers).toEqual([]);
  });

  // Guards against a published file without a worker state that makes a leaving
  // worker active again.
  it('keeps the state of a worker whose state the file omits', () => {
    const desk = {...state.workers['desk-01']!, state: 'leaving' as const};
    const drained = {...state, workers: {...state.workers, 'desk-01': desk}};
    expect(inventoryChange(file, drained, REPLACE_ALL).put.workers).toEqual([]);
  });
});
