import {setTimeout as sleep} from 'node:timers/promises';
import {NotRun, runCase} from '../lib/cell.mjs';

/** Number of tasks of the large submission; the pages set no limit. */
const LARGE_TASK_COUNT = 8_000;

/** `finish_s` of the site. */
const FINISH_MILLISECONDS = 14_000;

/** Time for which nothing of a submission may run, by the rule. */
const IDLE_MILLISECONDS = 3_000;

const TASK = {cpu: 10, memory_request_mb: 1, estimated_ms: 640};

const ORDINARY = {
  spec: JSON.stringify({ms: 640, cpu: TASK.cpu}),
  pipeline: [
    {count: 4, ...TASK},
    {count: 4, ...TASK, depends_on: [0]},
    {count: 4, ...TASK, depends_on: [1]},
  ],
};

const LARGE = {
  spec: JSON.stringify({ms: 640, cpu: TASK.cpu}),
  pipeline: [{count: LARGE_TASK_COUNT, ...TASK}],
};

await runCase(import.meta.dirname, async (cell, hasTrouble) => {
  const {record} = cell;
  await cell.start({
    daemonCount: 3,
    workers: Array(8).fill({capacity: {cpu: 32_000}}),
  });
  const consumer = cell.consumer('consumer');
  const accepted = [];
  const submit = async (id, body) => {
    const daemon = cell.daemons[accepted.length % cell.daemons.length];
    const {status} = await consumer.call('POST', daemon, id, body);
    if (status === 200) accepted.push(id);
  };
  for (let index = 0; index < 5; index++) {
    await submit(idOf(index), ORDINARY);
  }
  if (accepted.length < 5) throw new NotRun('ordinary work was not accepted');
  if (hasTrouble) await submit(idOf(100), LARGE);
  for (let index = 5; index < 10; index++) {
    await submit(idOf(index), ORDINARY);
    await sleep(500);
  }
  await sleep(FINISH_MILLISECONDS);
  const startedBefore = cell.starts.length;
  const usedBefore = cell.workers.map(worker => worker.usedMilliCores);
  await sleep(IDLE_MILLISECONDS);
  const broken = [];
  for (const id of accepted) {
    const answer = await consumer.call('GET', cell.daemons[0], id);
    if (answer.status === 200 && answer.text.includes('completed')) continue;
    const hasRun = cell.workers.some(worker =>
      [...worker.runs.keys()].some(task => task.startsWith(id)),
    );
    const isIdle = cell.starts.length === startedBefore && !hasRun;
    if (isIdle && usedBefore.every(used => used === 0)) {
      broken.push(
        `LOST: accepted submission ${id} (answer ${answer.status} ${answer.text}) has had nothing running for ${IDLE_MILLISECONDS / 1_000} s on idle workers`,
      );
    }
  }
  record.write(`${accepted.length} submissions were accepted`);
  return broken;
});

function idOf(index) {
  return index.toString(16).padStart(16, '5c0e7a21d94b36f8');
}
