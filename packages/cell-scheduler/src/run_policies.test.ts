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

// Load: workers that answer polls while their tasks make no progress.
describe('StallPolicy', () => {
  const stalls = StallPolicy.create();

  it('detects a run whose progress has stopped', () => {
    const cell = CellFixture.create();
    cell.addWorker('w');
    cell.state.add(createSubmission('a'));
    const run = runOf(cell);
    run.progressPercent = 50;
    run.progressedAt = 500;
    expect(stalls.isStalled(run, 1_900)).toBe(false);
    expect(stalls.isStalled(run, 2_100)).toBe(true);
  });

  // Guards against long runs that are stopped between two progress reports.
  it('allows a slow run four times its average time per percent', () => {
    const cell = CellFixture.create();
    cell.addWorker('w');
    cell.state.add(createSubmission('a'));
    const run = runOf(cell);
    run.progressPercent = 10;
    run.progressedAt = 10_000;
    expect(stalls.isStalled(run, 13_900)).toBe(false);
    expect(stalls.isStalled(run, 14_100)).toBe(true);
  });

  it('does not treat serving services and paced runs as stalled', () => {
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

// Load: best-effort work shares a worker with a serving task.
describe('PacingPolicy', () => {
  const pacing = PacingPolicy.create();

  function createShared(): {cell: CellFixture; serving: Run; bestEffort: Run} {
    const cell = CellFixture.create();
    cell.addWorker('w');
    cell.state.add(
      createSubmission('a', {isService: true, tailTargetMilliseconds: 100}),
    );
    const serving = runOf(cell);
    cell.state.add(createSubmission('b', {usesSpareCapacity: true}));
    return {cell, serving, bestEffort: runOf(cell, 1)};
  }

  it('pauses best-effort work while the tail exceeds its target', () => {
    const {cell, serving, bestEffort} = createShared();
    serving.load = 150;
    const worker = cell.state.workers.get('w')!;
    expect(pacing.decide(worker)).toEqual([{run: bestEffort, percent: 0}]);
  });

  it('restores speed in steps once the tail is well below its target', () => {
    const {cell, serving, bestEffort} = createShared();
    const worker = cell.state.workers.get('w')!;
    bestEffort.pacePercent = 0;
    serving.load = 70;
    expect(pacing.decide(worker)).toEqual([]);
    serving.load = 50;
    expect(pacing.decide(worker)).toEqual([{run: bestEffort, percent: 20}]);
  });
});
