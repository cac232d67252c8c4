import {afterEach, expect, it, vi} from 'vitest';
import {CellFixture} from './cell_fixture.js';
import {createSubmission} from './step_fixture.js';
import {WorkerChoice} from './worker_choice.js';

const WORKERS = 300;
const SUBMISSIONS = 400;

/** A pass may check each worker a few times, however long the backlog is. */
const MAXIMUM_CHECKS_PER_WORKER = 4;

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

// Load: a burst leaves a backlog of similar tasks in a full cell. Guards
// against an owner whose passes permanently take longer than the work they
// place.
it('checks each worker only a few times, however long the backlog', () => {
  const cell = createFullCell();
  for (let index = 0; index < SUBMISSIONS; index++) {
    cell.state.add(createSubmission(`s${index}`, {taskCount: 10}));
  }
  const eligibilityChecks = vi.spyOn(WorkerChoice.prototype, 'isEligible');
  expect(cell.pass(1).placements).toHaveLength(0);
  expect(eligibilityChecks.mock.calls.length).toBeLessThan(
    WORKERS * MAXIMUM_CHECKS_PER_WORKER,
  );
});

// Guards against small tasks that are held back by large ones that do not fit.
it('places tasks that are smaller than an unplaceable size', () => {
  const cell = createFullCell();
  cell.addWorker('small', {milliCores: 500});
  cell.state.add(createSubmission('a', {milliCores: 1_000}));
  cell.state.add(createSubmission('b', {milliCores: 500}));
  const [placement] = cell.pass(1).placements;
  expect(placement?.step.submission.id).toBe('b');
});

// Guards against an unplaceable size of one service that also blocks tasks of
// another service.
it('tracks unplaceable sizes per service', () => {
  const cell = createFullCell();
  cell.addWorker('other', {service: 'other'});
  cell.state.add(createSubmission('a', {}));
  cell.state.add(createSubmission('b', {}, {service: 'other'}));
  const [placement] = cell.pass(1).placements;
  expect(placement?.step.submission.id).toBe('b');
});
