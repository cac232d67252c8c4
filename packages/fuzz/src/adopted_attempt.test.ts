import {expect, it} from 'vitest';
import {SystemRun} from './system_run.js';

// Found by `npm run fuzz -- --seed 918273645 --runs 150`. Guards against an
// adopted task that runs twice. The copy of the request contained a displaced
// attempt, but its coordinator had ordered the next attempt before it crashed.
it('looks for later attempts of a task whose known attempt has ended', async () => {
  const run = await SystemRun.create(0);
  await run.run([
    {type: 'advance', milliseconds: 1_500},
    {
      type: 'submit',
      host: 2,
      kind: 'batch',
      isIdempotent: true,
      keyNumber: undefined,
      taskCount: 2,
      size: 3,
      runMilliseconds: 4_000,
      deadlineMilliseconds: 30_000,
    },
    {
      type: 'submit',
      host: 0,
      kind: 'urgent',
      isIdempotent: false,
      keyNumber: undefined,
      taskCount: 3,
      size: 3,
      runMilliseconds: 10,
      deadlineMilliseconds: 500,
    },
    {type: 'advance', milliseconds: 1},
    {type: 'kill', host: 2},
    {
      type: 'submit',
      host: 0,
      kind: 'service',
      isIdempotent: false,
      keyNumber: undefined,
      taskCount: 3,
      size: 2,
      runMilliseconds: 10,
      deadlineMilliseconds: 500,
    },
  ]);
  expect(run.outcomes().ran).toBeGreaterThan(0);
});
