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

  // Load: a burst of urgent steps in a nearly full cell with a fast advice
  // service. Guards against urgent work that waits as long for advice as work
  // whose service is slow, far beyond its target.
  it('waits for a fast service only briefly', () => {
    const cell = CellFixture.create();
    cell.addWorker('full', {milliCores: 1_000});
    const batch = {savesCheckpoints: true};
    cell.state.add(createSubmission('batch', batch, {priority: 2}));
    expect(cell.pass(0).placements).toHaveLength(1);
    for (let index = 0; index < 30; index++) {
      cell.addWorker(`free${index}`, {milliCores: 1_000});
    }
    const advice = {...ADVICE, decisionMilliseconds: 30};
    advice.perWorkerMilliseconds = 0.4;
    const urgent = createSubmission('urgent', {}, {priority: 0, advice});
    cell.state.add(urgent);
    cell.pass(1);
    const {advice: answers} = urgent.stepsOf(0)[0]!;
    answers.queriedWorkers.add('full@1');
    answers.tickets.set('full', {
      ticket: 't',
      workerBornAt: 1,
      validUntil: 5_000,
    });
    expect(cell.pass(150).preemptions).toHaveLength(0);
    expect(cell.pass(250).preemptions).toHaveLength(1);
  });
});
