import type {StartOrder, StartOutcome} from '@cardamomfield/cell-model';
import {UncertainError} from '@cardamomfield/errors';
import {Left} from 'purify-ts';
import {describe, expect, it} from 'vitest';
import {CellHarness} from './cell_harness.js';
import type {HostOverrides} from './host_overrides.js';
import type {MemoryCellWorker} from './memory_cell_worker.js';
import {createSubmission} from './plain_submission.js';
import {replaceLinkCalls} from './replace_link_calls.js';

const SEEDS = Array.from({length: 20}, (_, index) => index + 1);
const STEP_MILLISECONDS = 10;

/** Longer than the wait of a new owner for the leases of earlier ones. */
const SIMULATED_MILLISECONDS = 20_000;

/** Longest time that a stop takes on a simulated worker. */
const STOP_MILLISECONDS = 100;

/** Longer than an owner waits for a stop here. */
const LONG_STOP_MILLISECONDS = 600;

/** Longest delay after which an unanswered call is carried out. */
const LATE_MILLISECONDS = 6_000;

type Cell = ReturnType<typeof createCell>;

function createCell(seed: number, overrides: HostOverrides = {}) {
  const harness = CellHarness.create({
    seed,
    workerIds: ['cut', 'near'],
    milliCores: 20_000,
    overrides,
  });
  const {virtualClock, workers} = harness;
  const cut = workers.get('cut');
  if (!cut) throw new RangeError('cut');
  const advance = async (milliseconds: number) => {
    for (let time = 0; time < milliseconds; time += STEP_MILLISECONDS) {
      await virtualClock.advance(STEP_MILLISECONDS);
      for (const worker of workers.values()) worker.settle();
    }
  };
  return {harness, virtualClock, cut, advance};
}

function workerOf(link: object): string {
  return (Reflect.get(link, 'worker') as MemoryCellWorker).id;
}

/** Second runs and starts after an end, over all seeds. */
async function findAll(
  simulate: (seed: number) => Promise<Cell>,
): Promise<string[]> {
  const violations: string[] = [];
  for (const seed of SEEDS) {
    const {harness} = await simulate(seed);
    violations.push(...harness.ledger.violations);
  }
  return violations;
}

async function runTasks(cell: Cell, disturb: (cell: Cell) => Promise<void>) {
  const {harness, advance} = cell;
  const host = harness.addHost('host');
  void host.claim(0);
  await advance(2_300);
  const {queue, specification} = createSubmission(8);
  void host.owner?.submit('00000000000000aa', queue, specification);
  await disturb(cell);
  await advance(SIMULATED_MILLISECONDS);
  host.kill();
  return cell;
}

describe('a refused start', () => {
  const reasons = [
    'superseded',
    'late',
    'no-room',
    'unhealthy',
    'other-life',
    'invalid',
  ] as const;

  // Guards against two runs of a task: an earlier try without an answer may have
  // started the run that a later one was refused for.
  it.each(reasons)('proves nothing about an earlier try (%s)', async reason => {
    let refused = 0;
    const violations = await findAll(seed => {
      const tried = new Set<string>();
      const cell = createCell(seed, {
        wrapLink: link =>
          replaceLinkCalls(link, {
            start: async (order: StartOrder): Promise<StartOutcome> => {
              const key = `${order.taskName} ${order.attempt}`;
              if (tried.has(key)) {
                refused++;
                return {kind: 'refused', reason, clock: undefined};
              }
              tried.add(key);
              await link.start(order);
              return {kind: 'uncertain', cause: 'the answer was lost'};
            },
          }),
      });
      return runTasks(cell, async () => {});
    });
    expect(violations).toEqual([]);
    expect(refused).toBeGreaterThan(SEEDS.length);
  });
});

describe('a stopped run', () => {
  /** Lets a stop take its whole time, and lists the run or not meanwhile. */
  async function simulate(
    seed: number,
    isListed: boolean,
    stopMilliseconds = STOP_MILLISECONDS,
  ): Promise<Cell> {
    const cell = createCell(seed, {
      wrapLink: link =>
        replaceLinkCalls(link, {
          start: async order => {
            await link.start(order);
            return {kind: 'uncertain', cause: 'the answer was lost'};
          },
        }),
    });
    for (const worker of cell.harness.workers.values()) {
      const ending = new Set<string>();
      const stop = worker.stop.bind(worker);
      const poll = worker.poll.bind(worker);
      worker.stop = (name, attempt, fencingToken) => {
        ending.add(name);
        const {virtualClock} = cell;
        void virtualClock
          .sleepUntil(virtualClock.monotonicNow() + stopMilliseconds)
          .then(() => {
            ending.delete(name);
            stop(name, attempt, fencingToken);
          });
        return true;
      };
      worker.poll = order => {
        const report = poll(order);
        if (!report || isListed) return report;
        const running = report.running.filter(
          ({taskName}) => !ending.has(taskName),
        );
        return {...report, running};
      };
    }
    return runTasks(cell, async () => {});
  }

  it.each([true, false])(
    'counts as ended only after the time of a stop (listed: %s)',
    async isListed => {
      const violations = await findAll(seed => simulate(seed, isListed));
      expect(violations).toEqual([]);
    },
  );

  // The tests above would prove nothing if they also passed with longer stops.
  it('counts as ended too early if a stop takes longer than allowed', async () => {
    const violations = await findAll(seed =>
      simulate(seed, false, LONG_STOP_MILLISECONDS),
    );
    expect(violations.length).toBeGreaterThan(0);
  });

  it('never counts as ended while its worker lists it', async () => {
    const violations = await findAll(seed =>
      simulate(seed, true, LONG_STOP_MILLISECONDS),
    );
    expect(violations).toEqual([]);
  });
});

describe('a lease', () => {
  // Polls without an answer extend the lease when they are carried out later.
  it('is over when runs count as lost, if polls are carried out late', async () => {
    let late = 0;
    const violations = await findAll(seed => {
      let isCut = false;
      const cell = createCell(seed, {
        wrapLink: link =>
          workerOf(link) !== 'cut'
            ? link
            : replaceLinkCalls(link, {
                poll: async order => {
                  if (!isCut) return link.poll(order);
                  const {virtualClock} = cell;
                  const now = virtualClock.monotonicNow();
                  const delay = (late++ * 617) % LATE_MILLISECONDS;
                  void virtualClock
                    .sleepUntil(now + delay)
                    .then(() => cell.cut.poll({...order, waitMilliseconds: 0}));
                  await virtualClock.sleepUntil(now + 300);
                  return Left(UncertainError.create('no answer'));
                },
              }),
      });
      return runTasks(cell, async ({advance}) => {
        await advance(300);
        isCut = true;
      });
    });
    expect(violations).toEqual([]);
    expect(late).toBeGreaterThan(SEEDS.length);
  });

  it('is over when a later owner on the same host gives runs up', async () => {
    const violations = await findAll(async seed => {
      const cell = createCell(seed);
      const {harness, advance} = cell;
      const host = harness.addHost('host');
      const other = harness.addHost('other');
      const cutFaults = [host, other].map(each => each.faults.get('cut'));
      void host.claim(0);
      await advance(2_300);
      const {queue, specification} = createSubmission(8);
      void host.owner?.submit('00000000000000aa', queue, specification);
      await advance(2_000);
      for (const faults of cutFaults) if (faults) faults.isPartitioned = true;
      host.kill();
      void other.claim(1);
      await advance(1_000);
      other.kill();
      void host.claim(2);
      await advance(SIMULATED_MILLISECONDS);
      host.kill();
      return cell;
    });
    expect(violations).toEqual([]);
  });

  it('is over when an owner gives up runs of a worker without an entry', async () => {
    const violations = await findAll(async seed => {
      const cell = createCell(seed);
      const {harness, advance, cut} = cell;
      const host = harness.addHost('host');
      const faults = host.faults.get('cut');
      void host.claim(0);
      await advance(2_300);
      const {queue, specification} = createSubmission(8);
      void host.owner?.submit('00000000000000aa', queue, specification);
      await advance(2_000);
      cut.isListed = false;
      if (faults) faults.isPartitioned = true;
      host.kill();
      void host.claim(1);
      await advance(SIMULATED_MILLISECONDS);
      host.kill();
      return cell;
    });
    expect(violations).toEqual([]);
  });
});
