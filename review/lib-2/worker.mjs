/* global fetch, setInterval, setTimeout */
// Stand-in for one worker, as PROTOCOL.md describes it. Usage:
// node worker.mjs OPTIONS, with OPTIONS as JSON: ip, id, store, service, cpu,
// memory, labels, zone, killMilliseconds, linkMilliseconds,
// longestLeaseMilliseconds. Each line that it
// prints is an event as JSON, with the time of the machine's steady clock.
//
// The spec of a submission is JSON: `ms` is how long its tasks run. Without it,
// they run until they are stopped. With `members`, the tasks of a step are a
// gang: they work from the moment when a line `complete GANG` is read, with GANG
// as ID.K.STEP/ATTEMPT, and end as `broken` at a line `break GANG`. After a line
// `grey MILLISECONDS` the worker fails all that it starts for that long.
import {createServer as createHttpServer} from 'node:http';
import {connect, createServer} from 'node:net';
import process from 'node:process';
import {createInterface} from 'node:readline';

const HEARTBEAT_MILLISECONDS = 1_500;
const MAXIMUM_ENDS = 500;
const SETTLE_MILLISECONDS = 5;
const GANG_TIMEOUT_MILLISECONDS = 3_000;
/** Time after which a worker that fails all has failed a run. */
const FAILURE_MILLISECONDS = 2;

const options = JSON.parse(process.argv[2]);
const born = Date.now();
const startedAt = steady();
const runs = new Map();
const closed = new Map();
const waiting = new Set();
let ends = [];
let endCount = 0;
let fence = 0;
let leaseEnd = 0;
let sequence = 0;
let address = '';
let greyUntil = 0;

function steady() {
  return Number(process.hrtime.bigint()) / 1e6;
}

function clock() {
  return Math.floor(steady() - startedAt);
}

function report(event) {
  const line = {at: steady(), worker: options.id, ...event};
  process.stdout.write(`${JSON.stringify(line)}\n`);
}

function extendLease(expires) {
  if (!expires) return;
  const end = Math.min(expires, clock() + options.longestLeaseMilliseconds);
  leaseEnd = Math.max(leaseEnd, end);
}

function close(task, attempt) {
  closed.set(task, Math.max(closed.get(task) ?? 0, attempt));
}

function end(task, run, how) {
  runs.delete(task);
  close(task, run.attempt);
  ends.push([++endCount, task, run.attempt, how, '']);
  report({event: 'end', task, attempt: run.attempt, how});
  for (const resolve of waiting) resolve();
  waiting.clear();
}

function settle() {
  const now = steady();
  const isLapsed = clock() >= leaseEnd;
  for (const [task, run] of [...runs]) {
    if (run.killAt !== undefined) {
      if (run.killAt <= now) end(task, run, run.how);
    } else if (run.aloneAt <= now) {
      end(task, run, 'alone');
    } else if (run.endsAt <= now) {
      end(task, run, 'done');
    } else if (isLapsed) {
      run.killAt = now;
      run.how = 'lapsed';
    }
  }
}

function start(body) {
  const {task, attempt, spec} = body;
  const present = runs.get(task);
  if (present?.attempt === attempt) return [200, {}];
  if (present || attempt <= (closed.get(task) ?? 0)) {
    return [409, {reason: 'old'}];
  }
  if (clock() >= leaseEnd) return [409, {reason: 'late'}];
  const {ms, members} = JSON.parse(spec);
  const now = steady();
  const run = {
    attempt,
    startedAt: now,
    endsAt: ms === undefined || members ? Infinity : now + ms,
    ms,
    gang: members ? `${task.slice(0, task.lastIndexOf('.'))}/${attempt}` : '',
  };
  runs.set(task, run);
  if (now < greyUntil) {
    run.killAt = now + FAILURE_MILLISECONDS;
    run.how = 'failed';
  } else if (run.gang) {
    run.aloneAt = now + GANG_TIMEOUT_MILLISECONDS;
  }
  report({event: 'start', task, attempt});
  return [200, {}];
}

function stop({task, attempt}) {
  const run = runs.get(task);
  close(task, attempt);
  if (run && run.attempt <= attempt && run.killAt === undefined) {
    run.killAt = steady() + Math.random() * options.killMilliseconds;
    run.how = 'stopped';
  }
  return [200, {}];
}

async function hold(body) {
  ends = ends.filter(([number]) => number > (body.ack_cursor ?? 0));
  if (ends.length === 0 && body.wait_ms > 0) {
    await new Promise(resolve => {
      waiting.add(resolve);
      setTimeout(resolve, body.wait_ms);
    });
  }
  const now = steady();
  const running = [...runs].map(([task, run]) => [
    task,
    run.attempt,
    '',
    run.ms === undefined
      ? 100
      : Math.min(99, Math.floor((100 * (now - run.startedAt)) / run.ms)),
    0,
  ]);
  return [200, {running, finished: ends.slice(0, MAXIMUM_ENDS)}];
}

async function answer(request, text) {
  if (request.headers['expected-instance'] !== options.id) return [421, {}];
  const body = JSON.parse(text);
  const token = body.fencing_token ?? 0;
  if (token < fence) return [409, {reason: 'fence'}];
  fence = token;
  settle();
  extendLease(body.expires_ms);
  if (request.url === '/cardamomfield/run-start') return start(body);
  if (request.url === '/cardamomfield/run-stop') return stop(body);
  if (request.url === '/cardamomfield/hold') return hold(body);
  return [200, {}];
}

const server = createHttpServer(async (request, response) => {
  let text = '';
  try {
    for await (const chunk of request) text += chunk;
    const [status, body] = await answer(request, text);
    response.writeHead(status);
    response.end(JSON.stringify({clock_ms: clock(), born, ...body}));
  } catch {
    response.destroy();
  }
});
server.keepAliveTimeout = 0;

/** The link to the worker: each byte takes `linkMilliseconds` one way. */
const link = createServer({noDelay: true}, near => {
  const far = connect({...server.address(), host: options.ip, noDelay: true});
  for (const [from, to] of [
    [near, far],
    [far, near],
  ]) {
    from.on('data', chunk =>
      setTimeout(() => to.write(chunk), options.linkMilliseconds),
    );
    from.on('close', () =>
      setTimeout(() => to.destroy(), options.linkMilliseconds),
    );
    from.on('error', () => to.destroy());
  }
});

async function register() {
  const entry = {
    service: options.service,
    address,
    zone: options.zone,
    version: 'v1',
    slots: 8,
    state: 'ready',
    cold_remaining_ms: 0,
    capacity: {
      cpu: options.cpu,
      memory_request_mb: options.memory,
      gpu: 0,
    },
    labels: options.labels,
    born,
    sequence: ++sequence,
  };
  await fetch(
    `http://${options.store}/put?topic=keyed.servers&key=${options.id}`,
    {method: 'POST', body: JSON.stringify(entry)},
  ).catch(() => undefined);
}

server.listen(0, options.ip, () =>
  link.listen(0, options.ip, () => {
    address = `${options.ip}:${link.address().port}`;
    report({event: 'listening', address, born});
    void register();
    setInterval(() => void register(), HEARTBEAT_MILLISECONDS);
    setInterval(settle, SETTLE_MILLISECONDS);
  }),
);
const commands = createInterface({input: process.stdin});
commands.on('line', line => {
  const [command, argument] = line.split(' ');
  if (command === 'grey') greyUntil = steady() + Number(argument);
  for (const [task, run] of [...runs]) {
    if (run.gang === '' || run.gang !== argument) continue;
    if (command === 'break' && run.killAt === undefined) {
      end(task, run, 'broken');
    } else if (command === 'complete') {
      run.aloneAt = undefined;
      run.startedAt = steady();
      run.endsAt = run.startedAt + run.ms;
    }
  }
});
commands.on('close', () => process.exit());
