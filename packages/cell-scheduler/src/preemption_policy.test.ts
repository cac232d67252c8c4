import {describe, expect, it} from 'vitest';
import {CellFixture} from './cell_fixture.js';
import {createSubmission} from './step_fixture.js';

const WAITED = 1_000;

/** A full cell: two workers with one checkpointing batch run each. */
function createFullCell(): CellFixture {
  const cell = CellFixture.create();
  cell.addWorker('w1', {milliCores: 1_000});
  cell.addWorker('w2', {milliCores: 1_000});
  const step = {taskCount: 2, savesCheckpoints: true};
  cell.state.add(createSubmission('batch', step, {priority: 2}));
  cell.pass(0);
  return cell;
}

// Load: a cell is full of long batch runs when urgent work arrives or a service
// loses a task.
describe('PreemptionPolicy', () => {
  // Guards against urgent work that waits until other runs happen to end.
  it('stops one checkpointing run for each urgent task that waited', () => {
    const cell = createFullCell();
    cell.state.add(createSubmission('urgent', {}, {priority: 0}));
    expect(cell.pass(10).preemptions).toHaveLength(0);
    const [victim, ...others] = cell.pass(10 + WAITED).preemptions;
    expect(victim?.step.submission.id).toBe('batch');
    expect(others).toHaveLength(0);
  });

  // Guards against other work that takes the freed capacity while a ticket is
  // renewed.
  it('reserves the freed capacity for the task it was freed for', () => {
    const cell = createFullCell();
    cell.state.add(createSubmission('urgent', {}, {priority: 0}));
    cell.pass(10);
    const [victim] = cell.pass(10 + WAITED).preemptions;
    cell.end(victim!);
    const placements = cell.pass(20 + WAITED).placements;
    expect(placements.map(({step}) => step.submission.id)).toEqual(['urgent']);
  });

  // Guards against a burst of urgent steps that block each other. In a measured
  // run each step had reserved a worker, and nothing started for two seconds.
  it('lets steps of equal priority use reserved capacity', () => {
    const cell = createFullCell();
    const urgent = createSubmission('urgent', {}, {priority: 0});
    cell.state.add(urgent);
    cell.pass(10);
    const [victim] = cell.pass(10 + WAITED).preemptions;
    urgent.stepsOf(0)[0]!.tasks[0]!.notBefore = Infinity;
    cell.state.add(createSubmission('equal', {}, {priority: 0}));
    cell.end(victim!);
    const placements = cell.pass(20 + WAITED).placements;
    expect(placements.map(({step}) => step.submission.id)).toEqual(['equal']);
  });

  // Load: a burst of urgent steps in a full cell. Guards against steps that all
  // preempt the same runs, so that only the first of them gets the capacity and
  // the others wait for a reservation in vain.
  it('preempts different runs for steps that wait at the same time', () => {
    const cell = createFullCell();
    cell.state.add(createSubmission('first', {}, {priority: 0}));
    cell.state.add(createSubmission('second', {}, {priority: 0}));
    cell.pass(10);
    const victims = cell.pass(10 + WAITED).preemptions;
    expect(victims).toHaveLength(2);
    expect(new Set(victims).size).toBe(2);
    for (const victim of victims) cell.end(victim);
    expect(
      cell
        .pass(20 + WAITED)
        .placements.map(({step}) => step.submission.id)
        .sort(),
    ).toEqual(['first', 'second']);
  });

  // Load: a burst of urgent steps in a full cell. Guards against a step that got
  // capacity for some of its tasks and then tries no other worker for the time
  // of its reservation, although runs that it may preempt are there.
  it('preempts further runs for the tasks that got no capacity', () => {
    const cell = createFullCell();
    cell.state.add(createSubmission('first', {}, {priority: 0}));
    cell.state.add(createSubmission('second', {taskCount: 2}, {priority: 0}));
    cell.pass(10);
    expect(cell.pass(10 + WAITED).preemptions).toHaveLength(2);
    cell.addWorker('w3', {milliCores: 1_000});
    const batch = createSubmission(
      'more',
      {savesCheckpoints: true},
      {priority: 2},
    );
    cell.state.add(batch);
    const step = batch.stepsOf(0)[0]!;
    cell.run(step, step.tasks[0]!, cell.state.workers.get('w3')!);
    const later = cell.pass(10 + WAITED + 300).preemptions;
    expect(later.map(run => run.workerId)).toEqual(['w3']);
  });

  // Guards against services that are stopped in favour of other work.
  it('never stops services or work of equal or higher priority', () => {
    const cell = CellFixture.create();
    cell.addWorker('w', {milliCores: 1_000});
    const service = {isService: true, savesCheckpoints: true};
    cell.state.add(createSubmission('service', service, {priority: 2}));
    cell.pass(0);
    cell.state.add(createSubmission('urgent', {}, {priority: 0}));
    cell.pass(10);
    expect(cell.pass(10 + WAITED).preemptions).toHaveLength(0);

    const busy = createFullCell();
    busy.state.add(createSubmission('equal', {}, {priority: 2}));
    busy.pass(10);
    expect(busy.pass(10 + WAITED).preemptions).toHaveLength(0);
  });

  // Guards against service tasks that do not come back while the cell is full.
  it('stops work without checkpoints only for a service', () => {
    const cell = CellFixture.create();
    cell.addWorker('w', {milliCores: 1_000});
    cell.state.add(createSubmission('batch', {}, {priority: 2}));
    cell.pass(0);
    cell.state.add(createSubmission('urgent', {}, {priority: 0}));
    cell.pass(10);
    expect(cell.pass(10 + WAITED).preemptions).toHaveLength(0);
    cell.state.add(createSubmission('watch', {isService: true}));
    cell.pass(20 + WAITED);
    expect(cell.pass(20 + 2 * WAITED).preemptions).toHaveLength(1);
  });
});
