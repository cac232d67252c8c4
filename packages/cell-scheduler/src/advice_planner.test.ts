import {describe, expect, it} from 'vitest';
import {CellFixture} from './cell_fixture.js';
import {createSubmission} from './step_fixture.js';

const ADVICE = {
  decisionMilliseconds: 430,
  perWorkerMilliseconds: 6,
  validMilliseconds: 2_500,
};

describe('AdvicePlanner', () => {
  // Load: many small steps at the same time on a large cell. Guards against
  // queries that name every worker. The service takes longer for each of them.
  it('names about as many workers as the tasks need', () => {
    const cell = CellFixture.create();
    for (let index = 0; index < 200; index++) cell.addWorker(`w${index}`);
    cell.state.add(createSubmission('a', {taskCount: 8}, {advice: ADVICE}));
    const [query] = cell.pass(0).adviceQueries;
    expect(query?.workerIds.length).toBeGreaterThanOrEqual(8);
    expect(query?.workerIds.length).toBeLessThanOrEqual(16);
  });

  // Load: a burst of small steps on a nearly full cell with a fast advice
  // service. Guards against steps that all get tickets for the same few workers
  // and then preempt other runs, although other workers have capacity.
  it('spreads simultaneous queries over the workers with capacity', () => {
    const cell = CellFixture.create();
    for (let index = 0; index < 60; index++) {
      cell.addWorker(`w${index}`, {milliCores: 1_000});
    }
    const advice = {...ADVICE, decisionMilliseconds: 30};
    advice.perWorkerMilliseconds = 0.43;
    for (const id of ['a', 'b', 'c', 'd', 'e', 'f']) {
      cell.state.add(createSubmission(id, {taskCount: 6}, {advice}));
    }
    for (const {step, workerIds} of cell.pass(0).adviceQueries) {
      for (const id of workerIds) {
        const ticket = {ticket: 't', workerBornAt: 1, validUntil: 9_000};
        step.advice.queriedWorkers.add(`${id}@1`);
        step.advice.tickets.set(id, ticket);
      }
    }
    expect(cell.pass(1).placements).toHaveLength(36);
  });

  // Guards against queries about workers that cannot take the task.
  it('names the workers with capacity first', () => {
    const cell = CellFixture.create();
    for (let index = 0; index < 60; index++) {
      cell.addWorker(`full${index}`, {milliCores: 500});
    }
    for (let index = 0; index < 30; index++) cell.addWorker(`w${index}`);
    cell.state.add(createSubmission('a', {taskCount: 4}, {advice: ADVICE}));
    const [query] = cell.pass(0).adviceQueries;
    expect(query?.workerIds.every(id => id.startsWith('w'))).toBe(true);
  });

  // Load: submissions of several short steps while the advice service answers
  // slowly. Guards against a step that is ready but still waits for advice.
  it('queries advice for a step shortly before the step is ready', () => {
    const cell = CellFixture.create();
    cell.addWorker('w', {milliCores: 8_000});
    const submission = createSubmission(
      'a',
      {estimatedMilliseconds: 4_000},
      {advice: ADVICE},
    );
    const [step] = submission.specification.steps;
    submission.specification.steps.push({...step!, dependsOn: [0]});
    cell.state.add(submission);
    const [first, second] = submission.stepsOf(0);
    first!.advice.queriedWorkers.add('w@1');
    first!.advice.tickets.set('w', {
      ticket: 't',
      workerBornAt: 1,
      validUntil: 9_000,
    });
    expect(cell.pass(0).placements).toHaveLength(1);
    const {run} = first!.tasks[0]!;
    run!.progressPercent = 25;
    run!.progressedAt = 1_000;
    expect(cell.pass(1_000).adviceQueries).toEqual([]);
    run!.progressPercent = 75;
    run!.progressedAt = 3_000;
    expect(cell.pass(3_000).adviceQueries[0]?.step).toBe(second);
    // One query ahead is enough, because the answer does not change.
    second!.advice.queriedWorkers.add('w@1');
    expect(cell.pass(3_100).adviceQueries).toEqual([]);
  });
});
