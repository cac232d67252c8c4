import {request} from 'undici';
import {afterAll, beforeAll, describe, expect, it} from 'vitest';
import {Caller} from './caller.js';
import {ClusterLedger} from './cluster_ledger.js';
import {LocalCluster} from './local_cluster.js';

const WORK = {service: 'cortege-desk', team: 'permit-desk'};
const SLOTS_PER_WORKER = 8;
const LONG_PAUSE_MILLISECONDS = 6_000;

let cluster: LocalCluster;
let callers: Caller[];

beforeAll(async () => {
  cluster = await LocalCluster.create({
    entryHosts: 3,
    racks: 3,
    workersPerRack: 2,
    services: [WORK.service],
    teams: [WORK.team],
    entryFlags: ['--log-level=warn'],
  });
  callers = [...cluster.entries.values()].map(({url}) => Caller.create(url));
});

afterAll(() => cluster?.stop());

function sleep(milliseconds: number): Promise<void> {
  return new Promise(resolve => setTimeout(resolve, milliseconds));
}

/** Submits with the same key to one host after another until one answers. */
async function submitUntilAnswered(
  key: string,
  first: number,
  runMilliseconds: number,
) {
  const deadline = Date.now() + 60_000;
  for (let position = first; ; position += 1) {
    const caller = callers[position % callers.length];
    const payload = {runMilliseconds, value: `answer to ${key}`};
    const submission = {...WORK, key, kind: 'interactive', payload, deadline};
    const reply = await caller?.submit(submission).catch(() => undefined);
    if (reply?.body.answer) return reply.body.answer;
    await sleep(100);
  }
}

/** Submits keyed requests continuously until the event is over. */
async function submitDuring(name: string, event: () => Promise<void>) {
  const answers: Array<ReturnType<typeof submitUntilAnswered>> = [];
  let isOver = false;
  const eventCompletion = event().finally(() => {
    isOver = true;
  });
  while (!isOver) {
    const number = answers.length;
    answers.push(submitUntilAnswered(`${name}-${number}`, number, 200));
    await sleep(40);
  }
  await eventCompletion;
  return Promise.all(answers);
}

async function expectNoOverlapOrOvercommit(): Promise<void> {
  const ledger = await ClusterLedger.read(cluster);
  expect(ledger.overlaps()).toEqual([]);
  expect(ledger.peak('slots')).toBeLessThanOrEqual(SLOTS_PER_WORKER);
}

async function setLogFaults(faults: object): Promise<void> {
  const answer = await request(`${cluster.log.url}/control/faults`, {
    method: 'PUT',
    headers: {'content-type': 'application/json'},
    body: JSON.stringify(faults),
  });
  await answer.body.dump();
}

describe('separate processes under faults', () => {
  // Guards against answers that reach the wrong caller or lack the results of
  // tasks (guarantee G3).
  it('gives every caller its own complete answer', async () => {
    const replies = await Promise.all(
      Array.from({length: 30}, (_, number) =>
        callers[number % 3]?.submit({
          ...WORK,
          kind: 'batch',
          taskCount: 3,
          payload: {runMilliseconds: number, value: `own ${number}`},
        }),
      ),
    );
    replies.forEach((reply, number) => {
      const answer = reply?.body.answer;
      const values =
        answer?.outcome === 'ran'
          ? answer.results.map(result => result.value)
          : [];
      expect(values).toEqual(Array(3).fill(`own ${number}`));
    });
    await expectNoOverlapOrOvercommit();
  });

  // Guards against a request that runs again because it is repeated at another
  // host (guarantee G5).
  it('runs a non-idempotent request once for all its callers', async () => {
    const order = {
      ...WORK,
      key: 'order-1',
      kind: 'interactive',
      idempotent: false,
      payload: {runMilliseconds: 100, value: 'ordered'},
    };
    const replies = await Promise.all(
      callers.map(caller => caller.submit(order)),
    );
    const answers = replies.map(reply => reply.body.answer);
    expect(answers[0]?.outcome).toBe('ran');
    expect(answers[1]).toEqual(answers[0]);
    expect(answers[2]).toEqual(answers[0]);
    const ledger = await ClusterLedger.read(cluster);
    expect(ledger.startsOf('order-1')).toHaveLength(1);
  });

  // Guards against invalid input that is accepted or crashes a process.
  it('refuses invalid input with typed problems', async () => {
    const url = `${cluster.entryUrl(0)}/v1/requests`;
    const post = async (body: string, headers = {}) => {
      const answer = await request(url, {method: 'POST', body, headers});
      const problem = (await answer.body.json()) as {code: string};
      return [answer.statusCode, problem.code];
    };
    const valid = {
      ...WORK,
      kind: 'batch',
      idempotent: true,
      demand: {
        processorMillicores: 1,
        memoryBytes: 1,
        accelerators: 0,
        slots: 1,
        connections: 0,
      },
    };
    const text = (changes: object) => JSON.stringify({...valid, ...changes});
    expect(await post('{"kind":')).toEqual([400, 'invalid-input']);
    expect(await post('[]')).toEqual([400, 'invalid-input']);
    expect(await post(text({unknown: 1}))).toEqual([400, 'invalid-input']);
    expect(await post(text({team: 'nobody'}))).toEqual([400, 'invalid-input']);
    expect(await post(text({taskCount: -1}))).toEqual([400, 'invalid-input']);
    expect(await post(text({deadline: 1}))).toEqual([400, 'invalid-input']);
    const negative = {...valid.demand, memoryBytes: -1};
    expect(await post(text({demand: negative}))).toEqual([
      400,
      'invalid-input',
    ]);
    const huge = text({payload: 'x'.repeat(2 ** 21)});
    expect(await post(huge)).toEqual([413, 'payload-too-large']);
    const key = {'idempotency-key': 'order-1'};
    expect(await post(text({}), key)).toEqual([409, 'conflict']);
    const nowhere = await request(`${cluster.entryUrl(0)}/v1/nowhere`);
    await nowhere.body.dump();
    expect(nowhere.statusCode).toBe(404);
  });

  // Guards against a job that waits until its deadline although it can never
  // run (guarantee G4).
  it('refuses a job that can never run, naming the resource', async () => {
    const reply = await callers[0]?.submit({
      ...WORK,
      kind: 'batch',
      demand: {accelerators: 1_000},
    });
    expect(reply?.body.answer).toMatchObject({
      outcome: 'not-run',
      reason: {code: 'never-runnable', details: {resource: 'accelerators'}},
    });
  });

  // Guards against a gang whose tasks start one by one.
  it('refuses a gang that it cannot start simultaneously', async () => {
    const submission = {...WORK, kind: 'gang', taskCount: 2};
    const reply = await callers[0]?.submit(submission);
    expect(reply?.body.answer).toMatchObject({
      outcome: 'not-run',
      reason: {code: 'not-supported'},
    });
  });

  // Guards against idempotent work that stops during a log outage, and against
  // the start of a non-idempotent request without a record in the log.
  it('continues without the log, except for non-idempotent requests', async () => {
    await setLogFaults({outage: true});
    await sleep(3_000);
    const check = await submitUntilAnswered('during-outage', 0, 20);
    expect(check.outcome).toBe('ran');
    const order = await callers[1]?.submit({
      ...WORK,
      kind: 'interactive',
      idempotent: false,
    });
    expect(order?.body.answer?.outcome).toBe('not-run');
    await setLogFaults({outage: false});
  });

  // Guards against over-committed workers (guarantee G1) and overlapping runs
  // of a task (G2) when a paused process resumes after its groups have moved to
  // other hosts, and against callers without an answer.
  it('survives a process pause longer than every ownership period', async () => {
    const entry = cluster.entries.get('entry-2');
    const answers = await submitDuring('pause', async () => {
      entry?.process.signal('SIGSTOP');
      await sleep(LONG_PAUSE_MILLISECONDS);
      entry?.process.signal('SIGCONT');
      await sleep(2_000);
    });
    expect(answers.every(answer => answer.outcome === 'ran')).toBe(true);
    await expectNoOverlapOrOvercommit();
  });

  // Guards against work that is lost or runs twice when an entry host crashes.
  it('survives the crash of an entry host', async () => {
    const answers = await submitDuring('kill', async () => {
      await cluster.entries.get('entry-3')?.process.kill();
      await sleep(6_000);
      await cluster.restartEntry('entry-3');
    });
    expect(answers.every(answer => answer.outcome === 'ran')).toBe(true);
    await expectNoOverlapOrOvercommit();
  });

  // Guards against requests interrupted by a rolling restart (guarantee G7).
  it('interrupts no request during a rolling restart', async () => {
    const answers = await submitDuring('rolling', async () => {
      for (const [name, entry] of cluster.entries) {
        const pending = Caller.create(entry.url).submit({
          ...WORK,
          kind: 'interactive',
          payload: {runMilliseconds: 1_500, value: 'not cut'},
        });
        await sleep(300);
        await entry.process.stop();
        expect(entry.process.exitCode()).toBe(0);
        expect((await pending).body.answer?.outcome).toBe('ran');
        await cluster.restartEntry(name);
      }
    });
    expect(answers.every(answer => answer.outcome === 'ran')).toBe(true);
    await expectNoOverlapOrOvercommit();
  });
});
