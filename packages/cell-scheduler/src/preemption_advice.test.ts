import {describe, expect, it} from 'vitest';
import {CellFixture} from './cell_fixture.js';
import {createSubmission} from './step_fixture.js';

const ADVICE = {
  decisionMilliseconds: 450,
  perWorkerMilliseconds: 6,
  validMilliseconds: 2_500,
};

// Load: the workers of a step's first tickets are full, while the cell is not.
describe('preemption for a step with advice', () => {
  // Guards against runs that are stopped for a step as soon as its first query
  // is answered, although workers that it has not asked about have room.
  it('asks about workers with room before it stops other runs', () => {
    const cell = CellFixture.create();
    for (let index = 0; index < 3; index++) {
      cell.addWorker(`full${index}`, {milliCores: 1_000});
    }
    const batch = {taskCount: 3, savesCheckpoints: true};
    cell.state.add(createSubmission('batch', batch, {priority: 2}));
    expect(cell.pass(0).placements).toHaveLength(3);
    for (let index = 0; index < 30; index++) {
      cell.addWorker(`free${index}`, {milliCores: 1_000});
    }
    const watch = createSubmission(
      'watch',
      {taskCount: 3, isService: true},
      {priority: 1, advice: ADVICE},
    );
    cell.state.add(watch);
    cell.pass(1);
    const {advice} = watch.stepsOf(0)[0]!;
    for (let index = 0; index < 3; index++) {
      advice.queriedWorkers.add(`full${index}@1`);
      advice.tickets.set(`full${index}`, {
        ticket: 't',
        workerBornAt: 1,
        validUntil: 5_000,
      });
    }
    const pass = cell.pass(600);
    expect(pass.adviceQueries).toHaveLength(1);
    expect(pass.preemptions).toHaveLength(0);
  });
});
