import {afterEach, expect, it, vi} from 'vitest';
import {CellFixture} from './cell_fixture.js';
import {createSubmission} from './step_fixture.js';
import {WorkerChoice} from './worker_choice.js';

const WORKERS = 300;
const SUBMISSIONS = 400;

/** A pass may look at each worker a few times, whatever the backlog. */
const MOST_LOOKS_PER_WORKER = 4;

afterEach(() => vi.restoreAllMocks());

function createFullCell(): CellFixture {
  const cell = CellFixture.create();
  for (let index = 0; index < WORKERS; index++) {
    cell.addWorker(`w${index}`, {milliCores: 1_000});
  }
  cell.state.add(createSubmission('first', {taskCount: WORKERS}));
  expect(cell.pass(0).placements).toHaveLength(WORKERS);
  return cell;
}

// Load: a burst leaves a backlog of alike tasks in a full cell. Guards against
// an owner whose passes take longer than the work they place, for ever.
it('looks at each worker a few times only, however long the backlog', () => {
  const cell = createFullCell();
  for (let index = 0; index < SUBMISSIONS; index++) {
    cell.state.add(createSubmission(`s${index}`, {taskCount: 10}));
  }
  const looks = vi.spyOn(WorkerChoice.prototype, 'mayServe');
  expect(cell.pass(1).placements).toHaveLength(0);
  expect(looks.mock.calls.length).toBeLessThan(WORKERS * MOST_LOOKS_PER_WORKER);
});

// Guards against small work that is held back by large work that does not fit.
it('still places what is smaller than a size without room', () => {
  const cell = createFullCell();
  cell.addWorker('small', {milliCores: 500});
  cell.state.add(createSubmission('a', {milliCores: 1_000}));
  cell.state.add(createSubmission('b', {milliCores: 500}));
  const [placement] = cell.pass(1).placements;
  expect(placement?.step.submission.id).toBe('b');
});

// Guards against a size of one service that keeps another service's work out.
it('tells the services apart', () => {
  const cell = createFullCell();
  cell.addWorker('other', {service: 'other'});
  cell.state.add(createSubmission('a', {}));
  cell.state.add(createSubmission('b', {}, {service: 'other'}));
  const [placement] = cell.pass(1).placements;
  expect(placement?.step.submission.id).toBe('b');
});
