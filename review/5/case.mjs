import {setTimeout as sleep} from 'node:timers/promises';
import {NotRun, runCase} from '../lib/cell.mjs';

/** How long the worker is down the first time. */
const DOWN_MILLISECONDS = 1_000;

/** When the restarted worker is lost for good. */
const LOST_AFTER_MILLISECONDS = 4_000;

/** A task that lasts has to run again this long after its last run at most. */
const AGAIN_MILLISECONDS = 9_000;

/** The platform removes an entry after three heartbeats of silence. */
const ENTRY_REMOVED_AFTER_MILLISECONDS = 4_500;

const OBSERVED_MILLISECONDS = 22_000;

const ID = '5c0e7a21d94b36f8';
const SUBMISSION = {
  spec: JSON.stringify({ms: 0, cpu: 2_000}),
  pipeline: [
    {
      count: 8,
      cpu: 2_000,
      memory_request_mb: 256,
      estimated_ms: 500,
      long_running: true,
    },
  ],
};

await runCase(import.meta.dirname, async (cell, hasTrouble) => {
  const {record} = cell;
  await cell.start({
    daemonCount: 3,
    workers: Array(8).fill({capacity: {cpu: 32_000}}),
  });
  const consumer = cell.consumer('consumer');
  const [worker] = cell.workers;
  // The restart comes first, so that the task starts on the new incarnation.
  if (hasTrouble) {
    worker.crash();
    await sleep(DOWN_MILLISECONDS);
    await worker.restart();
    await sleep(LOST_AFTER_MILLISECONDS - 1_500);
  }
  const {status} = await consumer.call('POST', cell.daemons[0], ID, SUBMISSION);
  if (status !== 200) throw new NotRun(`the job was answered with ${status}`);
  await sleep(1_500);
  const tasks = [...worker.runs.keys()];
  if (tasks.length === 0) throw new NotRun('no task runs on the worker');
  const lostAt = record.now();
  if (hasTrouble) {
    worker.crash();
    await sleep(ENTRY_REMOVED_AFTER_MILLISECONDS);
    worker.leave();
  }
  await sleep(OBSERVED_MILLISECONDS - (record.now() - lostAt));
  const broken = [];
  for (const task of tasks) {
    if (worker.runs.has(task)) continue;
    const again = cell.starts.find(
      start => start.task === task && start.at > lostAt,
    );
    const waited = (again?.at ?? record.now()) - lostAt;
    const seconds = `${(waited / 1_000).toFixed(1)} s`;
    record.write(`${task} was down for ${seconds}${again ? '' : ' and is'}`);
    if (waited <= AGAIN_MILLISECONDS) continue;
    broken.push(
      `LOST: ${task} lasts and did not run for ${seconds}, with room for it`,
    );
  }
  return broken;
});
