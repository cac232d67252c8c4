import {afterEach, describe, expect, it, vi} from 'vitest';
import {CellFixture} from './cell_fixture.js';
import {createSubmission} from './step_fixture.js';
import {WorkerChoice} from './worker_choice.js';

const ADVICE = {
  decisionMilliseconds: 600,
  perWorkerMilliseconds: 6,
  validMilliseconds: 2_500,
};

describe('Scheduler', () => {
  afterEach(() => vi.restoreAllMocks());

  // Guards against one submission that ends the owner with an error, and then
  // every next owner, since each reads the same records.
  it('sets aside a step that raises an unexpected error', () => {
    const cell = CellFixture.create();
    cell.addWorker('w');
    cell.state.add(createSubmission('a', {}, {priority: 0}));
    cell.state.add(createSubmission('b', {}));
    const choose = WorkerChoice.prototype.choose;
    const spy = vi
      .spyOn(WorkerChoice.prototype, 'choose')
      .mockImplementation(function (this: WorkerChoice, step, ...others) {
        if (step.submission.id === 'a') throw new RangeError('unexpected');
        return choose.call(this, step, ...others);
      });
    const pass = cell.pass(0);
    expect(pass.placements.map(({step}) => step.submission.id)).toEqual(['b']);
    expect(pass.faults.map(({step}) => step.submission.id)).toEqual(['a']);
    spy.mockRestore();
    expect(cell.pass(1).placements).toHaveLength(0);
    expect(cell.pass(6_000).placements).toHaveLength(1);
  });

  // Guards against over-committed workers.
  it('places no more than a worker holds', () => {
    const cell = CellFixture.create();
    const worker = cell.addWorker('w');
    cell.state.add(createSubmission('a', {taskCount: 9, milliCores: 1_500}));
    expect(cell.pass(0).placements).toHaveLength(2);
    expect(worker.freeMilliCores).toBe(1_000);
    expect(cell.pass(1).placements).toHaveLength(0);
  });

  // Guards against urgent work that is delayed by older, less urgent work.
  it('serves the lower priority number first', () => {
    const cell = CellFixture.create();
    cell.addWorker('w', {milliCores: 1_000});
    cell.state.add(createSubmission('a', {}, {priority: 2}));
    cell.state.add(createSubmission('b', {}, {priority: 0}));
    const [placement] = cell.pass(0).placements;
    expect(placement?.step.submission.id).toBe('b');
  });

  // Guards against gangs that are placed in part and wait for their other
  // members in vain.
  it('places all members of a gang or none', () => {
    const cell = CellFixture.create();
    cell.addWorker('w1', {milliCores: 2_000});
    cell.state.add(createSubmission('a', {taskCount: 3, isGang: true}));
    expect(cell.pass(0).placements).toHaveLength(0);
    cell.addWorker('w2', {milliCores: 1_000});
    expect(cell.pass(1).placements).toHaveLength(3);
  });

  // Guards against a gang that uses up its attempts on one worker that fails a
  // member of each run, while others have room.
  it('places a gang on workers where none of its members failed last', () => {
    const cell = CellFixture.create();
    cell.addWorker('w1', {milliCores: 2_000});
    cell.addWorker('w2', {milliCores: 1_000});
    cell.addWorker('w3', {milliCores: 1_000});
    const submission = createSubmission('a', {taskCount: 2, isGang: true});
    cell.state.add(submission);
    submission.stepsOf(0)[0]!.tasks[0]!.lastFailedWorkerId = 'w1';
    const workers = cell.pass(0).placements.map(({worker}) => worker.id);
    expect(workers).toEqual(['w2', 'w3']);
  });

  it('respects the maximum number of tasks of a step per worker', () => {
    const cell = CellFixture.create();
    cell.addWorker('w1');
    cell.addWorker('w2');
    cell.state.add(createSubmission('a', {taskCount: 4, maximumPerWorker: 1}));
    const workers = cell.pass(0).placements.map(({worker}) => worker.id);
    expect(workers.sort()).toEqual(['w1', 'w2']);
  });

  it('uses only ready workers of the service with the required label', () => {
    const cell = CellFixture.create();
    cell.addWorker('plain');
    cell.addWorker('leaving', {labels: ['ssd'], state: 'draining'});
    cell.addWorker('foreign', {labels: ['ssd'], service: 'other'});
    cell.addWorker('right', {labels: ['ssd']});
    cell.state.add(createSubmission('a', {taskCount: 9, requiredLabel: 'ssd'}));
    const workers = cell.pass(0).placements.map(({worker}) => worker.id);
    expect(new Set(workers)).toEqual(new Set(['right']));
  });

  // Guards against starts without a ticket, which workers refuse, and against
  // unneeded queries.
  it('queries advice and places tasks only with a valid ticket', () => {
    const cell = CellFixture.create();
    cell.addWorker('w1');
    cell.addWorker('w2');
    const submission = createSubmission('a', {}, {advice: ADVICE});
    cell.state.add(submission);
    const first = cell.pass(0);
    expect(first.placements).toHaveLength(0);
    expect(first.adviceQueries[0]?.workerIds).toEqual(['w1', 'w2']);
    const {advice} = submission.stepsOf(0)[0]!;
    for (const id of ['w1', 'w2']) advice.queriedWorkers.add(`${id}@1`);
    advice.tickets.set('w2', {ticket: 't', workerBornAt: 1, validUntil: 1_000});
    const late = cell.pass(2_000);
    expect(late.placements).toHaveLength(0);
    expect(late.adviceQueries[0]?.workerIds).toEqual(['w2']);
    advice.tickets.set('w2', {ticket: 't', workerBornAt: 1, validUntil: 5_000});
    const [placement] = cell.pass(2_100).placements;
    expect(placement).toMatchObject({ticket: 't', worker: {id: 'w2'}});
  });

  // Guards against steps that starve for advice: a query that was planned and
  // could not be sent made its step wait while the next one got the place.
  it('plans queries in order once they can be sent', () => {
    const cell = CellFixture.create();
    cell.addWorker('w1');
    cell.state.add(createSubmission('a', {}, {advice: ADVICE, priority: 0}));
    cell.state.add(createSubmission('b', {}, {advice: ADVICE, priority: 1}));
    cell.adviceRoom = 0;
    expect(cell.pass(0).adviceQueries).toEqual([]);
    cell.adviceRoom = 1;
    const [query, ...others] = cell.pass(1).adviceQueries;
    expect(query?.step.submission.id).toBe('a');
    expect(others).toEqual([]);
  });

  it('does not start a step before the steps it depends on are done', () => {
    const cell = CellFixture.create();
    cell.addWorker('w');
    const submission = createSubmission('a');
    const [step] = submission.specification.steps;
    submission.specification.steps.push({...step!, dependsOn: [0]});
    cell.state.add(submission);
    expect(cell.pass(0).placements).toHaveLength(1);
    expect(cell.pass(1).placements).toHaveLength(0);
    const [first] = submission.stepsOf(0);
    first!.tasks[0]!.phase = 'done';
    first!.doneCount = 1;
    expect(cell.pass(2).placements[0]?.step.index).toBe(1);
  });
});
