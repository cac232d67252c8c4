import type {ShardLog} from '@cardamomfield/cell-model';
import {StepState} from '@cardamomfield/cell-scheduler';
import {afterEach, describe, expect, it, vi} from 'vitest';
import type {HostOverrides} from './host_overrides.js';
import {OwnershipSimulation} from './ownership_simulation.js';

const SEEDS = Array.from({length: 40}, (_, index) => index + 1);

/** Rare faults need many simulations before one of them reveals a defect. */
const DEFECT_SEEDS = 1_500;

/** A takeover between the ends of two members of one run is the rarest case. */
const TAKEOVER_FIRST_SEED = 1_501;

interface Progress {
  gangFailures: number;
  lastFailedGangAttempt?: number;
  tasks: Array<[number, number, number, ...unknown[]]>;
}

/** A log whose records of the progress of gangs read as changed. */
function changeProgress(change: (progress: Progress) => Progress) {
  return (log: ShardLog): ShardLog => ({
    append: (...call) => log.append(...call),
    confirmEpoch: epoch => log.confirmEpoch(epoch),
    readNewest: async () => {
      const records = await log.readNewest();
      return records.map(read =>
        read.map(({key, value}) => {
          if (!key.startsWith('p/') || value === '') return {key, value};
          const progress = JSON.parse(value) as Progress;
          const isGang = progress.lastFailedGangAttempt !== undefined;
          if (!isGang) return {key, value};
          return {key, value: JSON.stringify(change(progress))};
        }),
      );
    },
  });
}

async function simulate(
  seeds: readonly number[],
  overrides: HostOverrides & {drainsWorkers?: boolean},
) {
  let completed = 0;
  const violations: string[] = [];
  for (const seed of seeds) {
    const result = await OwnershipSimulation.run(seed, {
      submitsGangs: true,
      ...overrides,
    });
    completed += result.completed;
    violations.push(...result.violations.map(text => `seed ${seed}: ${text}`));
  }
  return {completed, violations};
}

/** Simulates seeds until one shows the given violation. */
async function isDetected(
  violation: string,
  overrides: HostOverrides = {},
  firstSeed = 1,
): Promise<boolean> {
  for (let seed = firstSeed; seed < firstSeed + DEFECT_SEEDS; seed++) {
    const {violations} = await simulate([seed], overrides);
    if (violations.some(text => text.includes(violation))) return true;
  }
  return false;
}

describe('failed runs of gangs', () => {
  afterEach(() => vi.restoreAllMocks());

  // Guards against a gang that is shown as failed before its attempts are used
  // up, starts beyond them, and the violations of other random runs.
  it('are counted as the queue allows under random faults', async () => {
    for (const drainsWorkers of [false, true]) {
      const {violations, completed} = await simulate(SEEDS, {drainsWorkers});
      expect(violations).toEqual([]);
      // Without completed work the simulations would prove nothing.
      expect(completed).toBeGreaterThan(SEEDS.length);
    }
  });

  // Guards against gangs that are shown as failed during an update, after an
  // owner of a version that counted each member that failed.
  it('are counted with records of an earlier version', async () => {
    const wrapLog = changeProgress(
      ({lastFailedGangAttempt: _, ...progress}) => ({
        ...progress,
        gangFailures: progress.tasks.reduce((sum, row) => sum + row[2], 0),
      }),
    );
    const {violations} = await simulate(SEEDS, {wrapLog});
    expect(violations).toEqual([]);
  });

  it('detects an owner that counts each member that failed', async () => {
    vi.spyOn(StepState.prototype, 'countGangFailure').mockImplementation(
      function (this: StepState) {
        this.gangFailures++;
        return true;
      },
    );
    expect(await isDetected('was shown as failed after')).toBe(true);
  });

  it('detects a run that counts again after a takeover', async () => {
    const wrapLog = changeProgress(progress => ({
      ...progress,
      lastFailedGangAttempt: 0,
    }));
    expect(
      await isDetected(
        'was shown as failed after',
        {wrapLog},
        TAKEOVER_FIRST_SEED,
      ),
    ).toBe(true);
  });

  it('detects failures that are forgotten in a takeover', async () => {
    const wrapLog = changeProgress(progress => ({
      ...progress,
      gangFailures: 0,
      tasks: progress.tasks.map(([phase, attempt, , ...rest]) => [
        phase,
        attempt,
        0,
        ...rest,
      ]),
    }));
    expect(await isDetected('beyond its attempts', {wrapLog})).toBe(true);
  });
});
