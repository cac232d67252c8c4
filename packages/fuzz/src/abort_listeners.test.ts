import {getEventListeners} from 'node:events';
import {expect, it, onTestFinished} from 'vitest';
import {SimulatedSystem} from './simulated_system.js';

const OPTIONS = {seed: 1, entryHosts: 3, racks: 3, workersPerRack: 2};
const REQUESTS_PER_SECOND = 5;
const SECONDS = 30;

/** Finished requests and their callers have ended after this time. */
const SETTLE_MILLISECONDS = 10_000;

// Guards against listeners that pile up on the signal that stops a host: with
// each request, or with each turn of a loop (11 of them brought a warning).
it('keeps a bounded number of abort listeners on each host', async () => {
  const warnings: string[] = [];
  const record = (warning: Error) => warnings.push(warning.message);
  process.on('warning', record);
  onTestFinished(() => void process.off('warning', record));
  const system = await SimulatedSystem.create(OPTIONS);
  onTestFinished(() => system.close());
  const {clock} = system;
  const countListeners = () =>
    system
      .liveHosts()
      .map(({signal}) => getEventListeners(signal, 'abort').length);
  await clock.advance(SETTLE_MILLISECONDS);
  const before = countListeners();
  for (let second = 0; second < SECONDS; second++) {
    for (let number = 0; number < REQUESTS_PER_SECOND; number++) {
      const key = `request-${second}-${number}`;
      const deadline = clock.wallNow() + 5_000;
      system.submit({key, kind: 'urgent', deadline}, true, 'entry-0');
    }
    await clock.advance(1_000);
  }
  await clock.advance(SETTLE_MILLISECONDS);
  expect(countListeners()).toEqual(before);
  // Warnings are emitted in a later turn of the event loop.
  await new Promise(resolve => setImmediate(resolve));
  expect(warnings).toEqual([]);
});
