import {expect, it} from 'vitest';
import {CellHarness} from './cell_harness.js';
import type {HostOverrides} from './host_overrides.js';
import {createSubmission} from './plain_submission.js';
import {replaceLinkCalls} from './replace_link_calls.js';

const ID = '00000000000000aa';

/** The log takes this long to record an intent. */
const LOG_MILLISECONDS = 2_000;

/** Time at which the directory shows the restart. */
const ENTRY_MILLISECONDS = 6_000;

/**
 * Starts that reach another incarnation of the worker than the one for which they
 * were recorded.
 */
async function countMisdirectedStarts(seed: number): Promise<number> {
  let misdirected = 0;
  const overrides: HostOverrides = {
    wrapLink: link =>
      replaceLinkCalls(link, {
        start: order => {
          if (harness.worker.incarnation > 0 && !isRestartListed) misdirected++;
          return link.start(order);
        },
      }),
  };
  let isRestartListed = false;
  const harness = CellHarness.create({seed, overrides});
  const {virtualClock, worker, ledger} = harness;
  const host = harness.addHost('host');
  void host.claim(0);
  await virtualClock.advance(2_300);
  host.log.answerMilliseconds = LOG_MILLISECONDS;
  const {queue, specification} = createSubmission(1);
  void host.owner?.submit(ID, queue, specification);
  await virtualClock.advance(100);
  const entry = worker.describe();
  const describe = worker.describe.bind(worker);
  worker.describe = () => entry;
  worker.restart();
  await virtualClock.advance(ENTRY_MILLISECONDS);
  worker.describe = describe;
  isRestartListed = true;
  host.log.answerMilliseconds = 0;
  await virtualClock.advance(60_000);
  expect(host.owner?.describe(ID)).toBe('completed');
  expect(ledger.violations).toEqual([]);
  host.kill();
  return misdirected;
}

// Guards against a start on a worker that has restarted with less capacity or
// other labels while the intent waited for the log.
it('sends no start to another incarnation than the one it was recorded for', async () => {
  for (let seed = 1; seed <= 5; seed++) {
    expect(await countMisdirectedStarts(seed)).toBe(0);
  }
});
