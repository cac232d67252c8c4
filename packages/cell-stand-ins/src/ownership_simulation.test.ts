import type {ShardLog} from '@cardamomfield/cell-model';
import {Right} from 'purify-ts';
import {describe, expect, it} from 'vitest';
import type {HostOverrides} from './host_overrides.js';
import {OwnershipSimulation} from './ownership_simulation.js';
import {replaceLinkCalls} from './replace_link_calls.js';

const SEEDS = Array.from({length: 40}, (_, index) => index + 1);

/**
 * Seeds that once violated a guarantee: a withdrawn start that reached the next
 * incarnation of its worker (20953, 21485), a confirmation of the epoch in
 * flight during a process pause (25708, 25893), ends of one incarnation
 * acknowledged to the next (20441, 23981, 24958), leases with an end time on
 * the clock of an earlier incarnation (801430). On 24958 a former owner also
 * acknowledged the cancellation of a job that a later owner ran.
 */
const REGRESSION_SEEDS = [
  20441, 20953, 21485, 23187, 23981, 24958, 25708, 25893, 801430,
];

/**
 * Seeds on which a start that had waited for a connection was sent after a pause
 * of its owner, to a worker that had restarted since.
 */
const OVERDUE_START_SEEDS = [93397, 110383];

/**
 * Seeds on which a task ran twice while workers drained, lost their entries,
 * were cut off or paused. The owner took a draining worker for gone (5, 20, 74,
 * 92, 153, 296), or did not wait until a worker without a lease had killed its
 * runs (15, 242, 249, 282, 401, 429, 498).
 */
const DRAIN_SEEDS = [5, 15, 20, 74, 92, 153, 242, 249, 282, 296, 401, 429, 498];

const LARGE_WORK_SEEDS = [1, 2];

/** Rare faults need many simulations before one of them reveals a defect. */
const DEFECT_SEEDS = 1_000;

/** Whether a violation is a false answer to a caller, or follows from one. */
function isOfAnswer(violation: string): boolean {
  return (
    violation.includes(' was shown as ') ||
    violation.endsWith(' after its cancellation was acknowledged')
  );
}

/**
 * Simulates seeds until one violates a guarantee; false if none does. False
 * answers to callers do not count: they show without an injected defect.
 */
async function isDetected(overrides: HostOverrides): Promise<boolean> {
  for (let seed = 1; seed <= DEFECT_SEEDS; seed++) {
    const {violations} = await OwnershipSimulation.run(seed, overrides);
    if (violations.some(violation => !isOfAnswer(violation))) return true;
  }
  return false;
}

describe('ownership by epoch, fencing token and lease', () => {
  // Guards against two runs of a task, a start after an acknowledged end, an
  // over-committed worker, and accepted work that never ends.
  it('upholds its guarantees under random faults', async () => {
    let completed = 0;
    for (const seed of SEEDS) {
      const result = await OwnershipSimulation.run(seed);
      expect({seed, violations: result.violations}).toEqual({
        seed,
        violations: [],
      });
      completed += result.completed;
    }
    // Without completed work the simulations would prove nothing.
    expect(completed).toBeGreaterThan(SEEDS.length);
  });

  // Guards against records, appends and bursts of starts that grow with the
  // number of tasks until no owner can work.
  it('upholds its guarantees with submissions of very different sizes', async () => {
    for (const seed of LARGE_WORK_SEEDS) {
      const {violations} = await OwnershipSimulation.run(seed, {
        submitsLargeWork: true,
      });
      expect({seed, violations}).toEqual({seed, violations: []});
    }
  });

  it('upholds its guarantees on seeds that once violated one', async () => {
    for (const seed of [...REGRESSION_SEEDS, ...OVERDUE_START_SEEDS]) {
      const {violations} = await OwnershipSimulation.run(seed);
      expect({seed, violations}).toEqual({
        seed,
        violations: [],
      });
    }
  });

  // These seeds were found while calls could leave after their time limit, and
  // are kept in that form as well.
  it('upholds its guarantees on these seeds also if calls leave late', async () => {
    for (const seed of REGRESSION_SEEDS) {
      const {violations} = await OwnershipSimulation.run(seed, {
        sendsOverdueCalls: true,
      });
      expect({seed, violations}).toEqual({
        seed,
        violations: [],
      });
    }
  });

  // Guards against a second run of a task on a worker that is up, when another
  // one drains, loses its entry, is cut off or pauses.
  it('upholds its guarantees while workers drain and pause', async () => {
    const broken: number[] = [];
    for (const seed of [...SEEDS, ...DRAIN_SEEDS]) {
      const {violations} = await OwnershipSimulation.run(seed, {
        drainsWorkers: true,
      });
      if (violations.length > 0) broken.push(seed);
    }
    expect(broken).toEqual([]);
  });

  // Without completed work the test above would prove nothing.
  it('completes work while workers drain and pause', async () => {
    let completed = 0;
    for (const seed of SEEDS) {
      const result = await OwnershipSimulation.run(seed, {drainsWorkers: true});
      expect(result.completed).toBe(result.accepted);
      completed += result.completed;
    }
    expect(completed).toBeGreaterThan(SEEDS.length * 10);
  });

  // Guards against UNASKED and LOST: a former owner told callers from memory
  // that a job does not exist, or showed an old state of it.
  it('upholds its guarantees while callers call former owners', async () => {
    const broken: number[] = [];
    for (const seed of SEEDS) {
      const {violations} = await OwnershipSimulation.run(seed, {
        cancelsAtEveryHost: true,
      });
      if (violations.length > 0) broken.push(seed);
    }
    expect(broken).toEqual([]);
  });

  // Without completed work the test above would prove nothing.
  it('completes work while callers call former owners', async () => {
    let completed = 0;
    for (const seed of SEEDS) {
      const result = await OwnershipSimulation.run(seed, {
        cancelsAtEveryHost: true,
      });
      completed += result.completed;
    }
    expect(completed).toBeGreaterThan(SEEDS.length);
  });

  // Each of the following tests disables one part of the protocol. If no
  // simulation failed, the tests above would prove nothing about that part.
  it('detects calls that do not carry the fencing token', async () => {
    const overrides: HostOverrides = {
      wrapLink: link =>
        replaceLinkCalls(link, {
          poll: order => link.poll({...order, fence: 0}),
          start: order => link.start({...order, fence: 0}),
          stop: (name, attempt) => link.stop(name, attempt, 0),
        }),
    };
    expect(await isDetected(overrides)).toBe(true);
  });

  // Workers refuse these starts by their token now, so that the defect does not
  // show on these seeds. `overdue_start.test.ts` detects it where no later token
  // has reached the worker.
  it.fails('detects starts that are sent after their time limit', async () => {
    for (const seed of OVERDUE_START_SEEDS) {
      const {violations} = await OwnershipSimulation.run(seed, {
        sendsOverdueCalls: true,
      });
      expect(violations).toHaveLength(1);
    }
  });

  it('detects orders that are sent before their intent is durable', async () => {
    const overrides: HostOverrides = {
      wrapLog: log => {
        const earlyLog: ShardLog = {
          readNewest: () => log.readNewest(),
          confirmEpoch: epoch => log.confirmEpoch(epoch),
          append: async (records, epoch, sequence) => {
            const isProgress = records.every(({key}) => key.startsWith('p/'));
            const result = log.append(records, epoch, sequence);
            return isProgress ? Right(undefined) : result;
          },
        };
        return earlyLog;
      },
    };
    expect(await isDetected(overrides)).toBe(true);
  });

  it('detects ends that are acknowledged before they are durable', async () => {
    const overrides: HostOverrides = {
      wrapLink: link => {
        let newest = 0;
        return replaceLinkCalls(link, {
          poll: async order => {
            const report = await link.poll({
              ...order,
              acknowledgedEnd: Math.max(newest, order.acknowledgedEnd),
            });
            const ends = report.map(({ends}) => ends.at(-1)?.number ?? 0);
            newest = Math.max(newest, ends.orDefault(0));
            return report;
          },
        });
      },
    };
    expect(await isDetected(overrides)).toBe(true);
  });

  it('detects a log that confirms every epoch', async () => {
    const overrides: HostOverrides = {
      wrapLog: log => ({
        readNewest: () => log.readNewest(),
        confirmEpoch: () => Promise.resolve(Right(undefined)),
        append: async (records, epoch, sequence) => {
          const result = await log.append(records, epoch, sequence);
          return records.some(({key}) => key === 'o')
            ? result
            : Right(undefined);
        },
      }),
    };
    expect(await isDetected(overrides)).toBe(true);
  });

  // Counts only against a product that keeps its answers without the defect.
  it('detects answers to callers that rest on no proof of the epoch', async () => {
    const wrapLog = (log: ShardLog): ShardLog => ({
      readNewest: () => log.readNewest(),
      confirmEpoch: () => Promise.resolve(Right(undefined)),
      append: (records, epoch, sequence) =>
        log.append(records, epoch, sequence),
    });
    let isFound = false;
    for (let seed = 1; seed <= DEFECT_SEEDS && !isFound; seed++) {
      const {violations} = await OwnershipSimulation.run(seed, {
        wrapLog,
        cancelsAtEveryHost: true,
      });
      isFound = violations.some(isOfAnswer);
    }
    expect(isFound).toBe(true);
  });
});
