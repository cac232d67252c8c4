import {expect, it} from 'vitest';
import {z} from 'zod';
import {RecordCodec} from './record_codec.js';
import {createSubmission} from './step_fixture.js';
import type {StepState} from './step_state.js';

function createStep(taskCount: number): StepState {
  return createSubmission('a', {taskCount}).stepsOf(0)[0]!;
}

function placeOn(
  step: StepState,
  index: number,
  workerBornAt: number,
  workerAddress: string,
): void {
  const placement = {workerId: 'w', workerBornAt, workerAddress};
  Object.assign(step.tasks[index]!, {phase: 'placed', attempt: 1}, placement);
}

// Guards against progress that a host cannot read after an update.
it('reads the progress records of an earlier version', () => {
  const step = createStep(1);
  const tasks = [[1, 3, 1, 'w', 70, 'c']];
  const value = JSON.stringify({gangAttempt: 0, gangFailures: 0, tasks});
  RecordCodec.applyProgress(step, value);
  expect(step.tasks[0]).toMatchObject({
    phase: 'placed',
    attempt: 3,
    failures: 1,
    workerId: 'w',
    workerBornAt: 70,
    workerAddress: '',
    checkpoint: 'c',
  });
});

// Guards against progress that a host of the earlier version cannot read while
// hosts of both versions serve the cell.
it('writes progress records that an earlier version reads', () => {
  const step = createStep(2);
  placeOn(step, 0, 70, '10.0.0.1:1');
  const TaskOfEarlierVersion = z.tuple([
    z.number().int().min(0).max(2),
    z.number().int(),
    z.number().int(),
    z.string(),
    z.number(),
    z.string(),
  ]);
  const ProgressOfEarlierVersion = z.object({
    gangAttempt: z.number().int(),
    gangFailures: z.number().int(),
    tasks: z.array(TaskOfEarlierVersion),
  });
  const value: unknown = JSON.parse(RecordCodec.encodeProgress(step));
  expect(ProgressOfEarlierVersion.parse(value).tasks).toEqual([
    [1, 1, 0, 'w', 70, ''],
    [0, 0, 0, '', 0, ''],
  ]);
});

// Guards against placed runs whose worker the next owner cannot reach.
it('keeps the addresses of the workers of placed tasks', () => {
  const step = createStep(2);
  placeOn(step, 0, 70, '10.0.0.1:1');
  const restored = createStep(2);
  RecordCodec.applyProgress(restored, RecordCodec.encodeProgress(step));
  expect(restored.tasks.map(task => task.workerAddress)).toEqual([
    '10.0.0.1:1',
    '',
  ]);
});

// Guards against an address at which an earlier incarnation listened: the
// answer of another worker there says nothing about the newest incarnation.
it('keeps the address of the newest incarnation of a worker only', () => {
  for (const addresses of [
    ['10.0.0.1:1', '10.0.0.2:1'],
    ['10.0.0.1:1', ''],
  ]) {
    const step = createStep(2);
    placeOn(step, 0, 70, addresses[0]!);
    placeOn(step, 1, 80, addresses[1]!);
    const restored = createStep(2);
    RecordCodec.applyProgress(restored, RecordCodec.encodeProgress(step));
    expect(restored.tasks[1]?.workerAddress).toBe(addresses[1]);
  }
});
