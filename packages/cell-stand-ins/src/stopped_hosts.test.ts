import {afterEach, expect, it, vi} from 'vitest';
import {OwnershipSimulation} from './ownership_simulation.js';
import {PausableClock} from './pausable_clock.js';

const SEEDS = Array.from({length: 40}, (_, index) => index + 1);

/**
 * An owner was stopped while a worker restarted; its next start met the new
 * incarnation, which held the longest lease.
 */
const LONGEST_LEASE_SEED = 22787;

/** Lets the monotonic clocks of hosts go on during a pause, as a stop does. */
function continueMonotonicClocks(): void {
  const create = PausableClock.create.bind(PausableClock);
  vi.spyOn(PausableClock, 'create').mockImplementation(virtualClock => {
    const clock = create(virtualClock);
    clock.monotonicNow = () => virtualClock.monotonicNow();
    clock.sleepUntil = async (deadline, signal) => {
      await virtualClock.sleepUntil(deadline, signal);
      await clock.whenRunning();
    };
    return clock;
  });
}

afterEach(() => {
  vi.restoreAllMocks();
});

it('upholds its guarantees if hosts are stopped while clocks go on', async () => {
  continueMonotonicClocks();
  for (const seed of SEEDS) {
    const {violations} = await OwnershipSimulation.run(seed);
    expect({seed, violations}).toEqual({seed, violations: []});
  }
});

// Guards against a start after an acknowledged end: the owner gave a run up
// before the longest lease, which the new incarnation held, was over.
it('upholds them on a seed that once violated one', async () => {
  continueMonotonicClocks();
  const {violations} = await OwnershipSimulation.run(LONGEST_LEASE_SEED);
  expect(violations).toEqual([]);
});
