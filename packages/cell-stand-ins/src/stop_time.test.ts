import {expect, it} from 'vitest';
import {CellHarness} from './cell_harness.js';
import {createSubmission} from './plain_submission.js';

const SEEDS = Array.from({length: 20}, (_, index) => index + 1);
const STOP_MILLISECONDS = 900;
const SIMULATED_MILLISECONDS = 6_000;
const STEP_MILLISECONDS = 50;

// Guards against a second run of a task that its worker is still stopping.
it('starts a task elsewhere only after a stop that takes its full time', async () => {
  let stopped = 0;
  for (const seed of SEEDS) {
    const harness = CellHarness.create({
      seed,
      workerIds: ['draining', 'near'],
      overrides: {stopMilliseconds: STOP_MILLISECONDS},
    });
    const {virtualClock, workers, ledger} = harness;
    const draining = workers.get('draining');
    if (!draining) throw new RangeError('draining');
    const host = harness.addHost('host');
    void host.claim(0);
    await virtualClock.advance(2_000);
    // The runs of services are moved off a worker that drains.
    const {queue, specification} = createSubmission(6, true);
    void host.owner?.submit('00000000000000aa', queue, specification);
    await virtualClock.advance(500);
    stopped += ledger.runningTasks().length;
    draining.isDraining = true;
    for (
      let elapsed = 0;
      elapsed < SIMULATED_MILLISECONDS;
      elapsed += STEP_MILLISECONDS
    ) {
      await virtualClock.advance(STEP_MILLISECONDS);
      for (const worker of workers.values()) worker.settle();
    }
    host.kill();
    // A task of a service starts again after any end, also after a success.
    const violations = ledger.violations.filter(
      violation => !violation.endsWith('after it was done'),
    );
    expect({seed, violations}).toEqual({seed, violations: []});
  }
  expect(stopped).toBeGreaterThan(SEEDS.length);
});
