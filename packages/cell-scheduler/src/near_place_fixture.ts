import type {StepSpecification} from '@cardamomfield/cell-model';
import {CellFixture} from './cell_fixture.js';
import type {NearPlaceRule} from './near_place_rule.js';
import type {Run} from './run.js';
import {createSubmission} from './step_fixture.js';
import type {SubmissionRecord} from './submission_record.js';

const TICK_MILLISECONDS = 10;

const NO_WAITS: NearPlaceRule = {
  beginPass: () => {},
  rackFor: () => '',
  mayPlace: () => true,
  nearOf: (_step, workers) => workers,
  notePlaced: () => 0,
  takeEvents: () => [],
  nextDeadline: Infinity,
};

/** Every step waits for its rack until a fixed time after it became ready. */
function createFixedWait(milliseconds: number): NearPlaceRule {
  let now = 0;
  const rackBySubmission = new Map<string, string>();
  return {
    ...NO_WAITS,
    beginPass: time => {
      now = time;
    },
    mayPlace: (step, task, worker, _waiting, rack) => {
      rackBySubmission.set(step.name, rack);
      return worker.rack === rack || now >= task.notBefore + milliseconds;
    },
    nearOf: (step, workers) =>
      workers.filter(({rack}) => rack === rackBySubmission.get(step.name)),
  };
}

interface LoadOptions {
  rule: 'none' | 'fixed' | 'policy';
  seed: number;
  penalty: number;
  racks: number;
  workersPerRack: number;
  /** Submissions a second. */
  rate: number;
  /** Share of the submissions that want the first rack. */
  hotShare: number;
  runMilliseconds: number;
  step: Partial<StepSpecification>;
  /** Share of workers that take four times as long. */
  slowShare?: number;
}

/** Plays one load on racks and returns the mean time to completion. */
export function playNearPlaces(options: LoadOptions): number {
  const {penalty, racks, workersPerRack, seed, rate, hotShare} = options;
  const rules = {
    none: NO_WAITS,
    fixed: createFixedWait(1_500),
    policy: undefined,
  };
  const cell = CellFixture.create(penalty, rules[options.rule]);
  let state = seed;
  const random = () => {
    state = (state * 48_271) % 2_147_483_647;
    return state / 2_147_483_647;
  };
  const slow = new Set<string>();
  for (let rack = 0; rack < racks; rack++) {
    for (let index = 0; index < workersPerRack; index++) {
      const id = `w${rack}-${index}`;
      cell.addWorker(id, {labels: [`r0-${rack}`]});
      if (random() < (options.slowShare ?? 0)) slow.add(id);
    }
  }
  const ends = new Map<Run, number>();
  const submittedAt = new Map<SubmissionRecord, number>();
  const times: number[] = [];
  const arrivals: Array<{at: number; rack: string; error: number}> = [];
  for (let at = 0; at < 30_000; at -= (Math.log(random()) * 1_000) / rate) {
    const rack = random() < hotShare ? 0 : Math.floor(random() * racks);
    arrivals.push({at, rack: `r0-${rack}`, error: 0.5 + random()});
  }
  let next = 0;
  for (let now = 1; next < arrivals.length || submittedAt.size > 0;) {
    for (const [run, at] of ends) {
      if (at > now) continue;
      ends.delete(run);
      cell.performance.noteEnd(run, 'done', now);
      cell.end(run);
      run.task.phase = 'done';
      run.step.doneCount++;
      const {submission} = run.step;
      if (!submission.areAllTasksDone) continue;
      cell.state.remove(submission);
      times.push(now - submittedAt.get(submission)!);
      submittedAt.delete(submission);
    }
    for (; next < arrivals.length && arrivals[next]!.at <= now; next++) {
      const {rack, error} = arrivals[next]!;
      const submission = createSubmission(
        `s${String(next).padStart(5, '0')}`,
        {
          estimatedMilliseconds: options.runMilliseconds * error,
          dataRack: options.step.isTightlyCoupled ? '' : rack,
          ...options.step,
        },
        {},
        '',
        now,
      );
      cell.state.add(submission);
      submittedAt.set(submission, now);
    }
    cell.performance.refresh(now);
    const {placements} = cell.pass(now, Infinity, now);
    for (const {step, task, worker} of placements) {
      const {dataRack} = step.specification;
      const isFar = dataRack
        ? worker.rack !== dataRack
        : runsOnOtherRack(cell, task.run!, worker.rack);
      const factor = (isFar ? penalty : 1) * (slow.has(worker.id) ? 4 : 1);
      const length = options.runMilliseconds * (0.75 + 0.5 * random());
      ends.set(task.run!, now + length * factor);
    }
    now += TICK_MILLISECONDS;
  }
  return times.reduce((a, b) => a + b, 0) / times.length;
}

function runsOnOtherRack(cell: CellFixture, run: Run, rack: string): boolean {
  return (
    run.step.specification.isTightlyCoupled &&
    run.step.tasks.some(
      other =>
        other.run && cell.state.workers.get(other.run.workerId)?.rack !== rack,
    )
  );
}
