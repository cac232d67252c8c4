// A gang is handed in while one of twelve workers fails all that it starts.
import {join} from 'node:path';
import process from 'node:process';
import {Cell, sleep, steady} from '../lib-2/cell.mjs';

const HAS_TROUBLE = process.env.TROUBLE !== '0';
const ID = '3e91b07c5d2a48f6';
const DAEMONS = [1, 2, 3];
const WORKERS = 12;
const MEMBERS = 40;
/** `max_attempts` of the queue. */
const MAXIMUM_ATTEMPTS = 4;
const GREY_MILLISECONDS = 6_500;
const WORK_MILLISECONDS = 3_800;

const cell = new Cell(join(import.meta.dirname, 'record.txt'));
const workers = [];
const gangs = new Map();

/** Tells the members of a gang that all are present, or that one has ended. */
function coordinate({event, task, attempt, how}) {
  if (event !== 'start' && event !== 'end') return;
  const name = `${task.slice(0, task.lastIndexOf('.'))}/${attempt}`;
  const gang = gangs.get(name) ?? {present: 0, ends: []};
  gangs.set(name, gang);
  let command = '';
  if (event === 'start') {
    gang.present++;
    if (gang.ends.length > 0) command = 'break';
    else if (gang.present === MEMBERS) command = 'complete';
  } else {
    gang.ends.push(how);
    // All members end `done` at the same time.
    if (how !== 'done') command = 'break';
  }
  if (command === '') return;
  for (const worker of workers) worker.stdin.write(`${command} ${name}\n`);
}

async function play() {
  await cell.startStore();
  await cell.publishDesiredState();
  for (let index = 1; index <= WORKERS; index++) {
    workers.push(await cell.startWorker(index, {}, coordinate));
  }
  for (const index of DAEMONS) cell.startDaemon(index);
  for (const index of DAEMONS) {
    if (!(await cell.awaitReady(index))) return 2;
  }
  await sleep(3_000);
  if (HAS_TROUBLE) {
    cell.note(`worker-1 fails all that it starts for ${GREY_MILLISECONDS} ms`);
    workers[0].stdin.write(`grey ${GREY_MILLISECONDS}\n`);
  }
  const accepted = await cell.callUntil(DAEMONS, [200], 5_000, 'POST', ID, {
    spec: JSON.stringify({ms: WORK_MILLISECONDS, members: MEMBERS}),
    pipeline: [
      {
        count: MEMBERS,
        gang: true,
        cpu: 8_000,
        memory_request_mb: 16_000,
        estimated_ms: WORK_MILLISECONDS,
      },
    ],
  });
  if (!accepted) return 2;
  let state = '';
  const endsAt = steady() + 40_000;
  while (!['completed', 'failed'].includes(state) && steady() < endsAt) {
    await sleep(500);
    const answer = await cell.callUntil(DAEMONS, [200], 5_000, 'GET', ID);
    if (answer) ({state} = JSON.parse(answer.text));
  }
  const failures = [...gangs.values()].filter(({ends}) =>
    ends.includes('failed'),
  ).length;
  cell.note(
    `the submission is ${state}; ${gangs.size} runs of the gang were started and ${failures} have failed, of ${MAXIMUM_ATTEMPTS} attempts`,
  );
  for (const [name, {ends}] of gangs) {
    const counts = {};
    for (const how of ends) counts[how] = (counts[how] ?? 0) + 1;
    cell.note(`${name}: ${JSON.stringify(counts)}`);
  }
  const isBroken = state === 'failed' && failures < MAXIMUM_ATTEMPTS;
  if (isBroken)
    cell.note('LOST is broken: it is shown as failed without cause');
  if (isBroken) return 1;
  return state === 'completed' ? 0 : 2;
}

const startedAt = steady();
const code = await play().catch(error => {
  cell.note(`the case could not run: ${error.stack}`);
  return 2;
});
await cell.end();
cell.note(`exit code ${code} after ${Math.round(steady() - startedAt)} ms`);
process.exit(code);
