import {describe, expect, it} from 'vitest';
import {CellFixture} from './cell_fixture.js';
import {PacingPolicy} from './pacing_policy.js';
import type {Run} from './run.js';
import {StallPolicy} from './stall_policy.js';
import {createSubmission} from './step_fixture.js';

function runOf(cell: CellFixture, now = 0): Run {
  const [placement] = cell.pass(now).placements;
  return placement!.task.run!;
}

// Load pattern: workers whose tasks stand still while they answer looks.
describe('StallPolicy', () => {
  const stalls = StallPolicy.create();

  it('notices a run whose progress stands still', () => {
    const cell = CellFixture.create();
    cell.addWorker('w');
    cell.state.add(createSubmission('a'));
    const run = runOf(cell);
    run.progressPercent = 50;
    run.progressedAt = 500;
    expect(stalls.isStalled(run, 1_900)).toBe(false);
    expect(stalls.isStalled(run, 2_100)).toBe(true);
  });

  // Guards against long runs that are ended between two steps of progress.
  it('gives a slow run four times its earlier pace', () => {
    const cell = CellFixture.create();
    cell.addWorker('w');
    cell.state.add(createSubmission('a'));
    const run = runOf(cell);
    run.progressPercent = 10;
    run.progressedAt = 10_000;
    expect(stalls.isStalled(run, 13_900)).toBe(false);
    expect(stalls.isStalled(run, 14_100)).toBe(true);
  });

  it('leaves services at work and paced runs alone', () => {
    const cell = CellFixture.create();
    cell.addWorker('w');
    cell.state.add(createSubmission('a', {isService: true}));
    const run = runOf(cell);
    run.progressPercent = 100;
    expect(stalls.isStalled(run, 60_000)).toBe(false);
    run.progressPercent = 50;
    run.pacePercent = 20;
    expect(stalls.isStalled(run, 60_000)).toBe(false);
  });
});

// Load pattern: work that fills a worker beside a task that serves.
describe('PacingPolicy', () => {
  const pacing = PacingPolicy.create();

  function createShared(): {cell: CellFixture; serving: Run; filling: Run} {
    const cell = CellFixture.create();
    cell.addWorker('w');
    cell.state.add(
      createSubmission('a', {isService: true, tailTargetMilliseconds: 100}),
    );
    const serving = runOf(cell);
    cell.state.add(createSubmission('b', {usesSpareCapacity: true}));
    return {cell, serving, filling: runOf(cell, 1)};
  }

  it('stops the filling work while the tail is over its target', () => {
    const {cell, serving, filling} = createShared();
    serving.load = 150;
    const worker = cell.state.workers.get('w')!;
    expect(pacing.decide(worker)).toEqual([{run: filling, percent: 0}]);
  });

  it('gives speed back in steps once the tail is well below it', () => {
    const {cell, serving, filling} = createShared();
    const worker = cell.state.workers.get('w')!;
    filling.pacePercent = 0;
    serving.load = 70;
    expect(pacing.decide(worker)).toEqual([]);
    serving.load = 50;
    expect(pacing.decide(worker)).toEqual([{run: filling, percent: 20}]);
  });
});
