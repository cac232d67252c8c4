import {readFileSync} from 'node:fs';
import {
  type IncomingMessage,
  type Server,
  type ServerResponse,
  createServer,
} from 'node:http';
import type {AddressInfo} from 'node:net';
import {ManualClock} from '@cardamomfield/clock';
import {
  InventoryFile,
  applyDelta,
  emptyConfiguration,
  inventoryChange,
  parseFile,
} from '@cardamomfield/configuration';
import {afterEach, describe, expect, it} from 'vitest';
import {runCommandLine} from './run_command_line.js';

const INVENTORY = 'examples/federation/inventory.yaml';
const RULES = 'examples/federation/rules.yaml';
const UNREACHABLE = 'http://127.0.0.1:1';

type Handler = (
  call: Call,
  response: ServerResponse,
) => unknown | Promise<unknown>;

interface Call {
  route: string;
  key: unknown;
  body: never;
}

const servers: Server[] = [];

afterEach(() => {
  for (const server of servers.splice(0)) {
    server.closeAllConnections();
    server.close();
  }
});

async function readBody(request: IncomingMessage): Promise<unknown> {
  let text = '';
  for await (const part of request) text += String(part);
  return text === '' ? undefined : JSON.parse(text);
}

/**
 * Starts a stand-in for an entry host with one handler per route. A handler
 * returns the answer or writes the response itself.
 */
async function startHost(routes: Record<string, Handler>) {
  const calls: Call[] = [];
  const server = createServer((request, response) => {
    void readBody(request).then(async body => {
      const route = `${request.method} ${request.url}`;
      const key = request.headers['idempotency-key'];
      const call = {route, key, body: body as never};
      calls.push(call);
      const value = await routes[route]?.(call, response);
      if (response.destroyed || response.headersSent) return;
      if (value === undefined) response.statusCode = 404;
      response.end(JSON.stringify(value ?? {code: 'not-found', detail: route}));
    });
  });
  servers.push(server);
  await new Promise<void>(resolve =>
    server.listen(0, '127.0.0.1', () => resolve()),
  );
  const {port} = server.address() as AddressInfo;
  return {url: `http://127.0.0.1:${port}`, calls};
}

/** A handler whose answer is lost after the call took effect. */
const loseAnswer: Handler = (_call, response) => response.destroy();

function answer(status: number, value: unknown): Handler {
  return (_call, response) => {
    response.writeHead(status).end(JSON.stringify(value));
  };
}

function readRepositoryFile(path: string): string {
  const url = new URL(`../../../${path}`, import.meta.url);
  return readFileSync(url, 'utf8');
}

async function run(
  commandLine: string,
  options: {
    environment?: Record<string, string>;
    signal?: AbortSignal;
    clock?: ManualClock;
  } = {},
) {
  const output: string[] = [];
  const errors: string[] = [];
  const started: unknown[] = [];
  const code = await runCommandLine(commandLine.split(' '), {
    environment: options.environment ?? {},
    clock: options.clock ?? ManualClock.create(),
    signal: options.signal ?? new AbortController().signal,
    writeLine: line => output.push(line),
    writeErrorLine: line => errors.push(line),
    readFile: async path => readRepositoryFile(path),
    createKey: () => 'new-key',
    runEntryHost: async settings => void started.push(settings),
  });
  return {code, output, errors: errors.join('\n'), started};
}

function federation() {
  const text = readRepositoryFile(INVENTORY);
  const file = parseFile(InventoryFile, {name: INVENTORY, text});
  const empty = emptyConfiguration();
  const change = inventoryChange(file.unsafeCoerce(), empty, {
    keepOthers: false,
  });
  return applyDelta(empty, change);
}

const CONFIGURATION = {version: 412, state: federation()};
const GET_CONFIGURATION = {'GET /v1/configuration': () => CONFIGURATION};
const PUBLISH = 'POST /v1/configuration/changes';
const SUBMIT = 'POST /v1/requests?wait=true';
const SUBMIT_LINE =
  'submit --team live-watch --service cortege-desk --kind batch';

describe('inventory and rules', () => {
  // Guards against a check that needs a running entry host.
  it('checks files without an entry host', async () => {
    expect((await run(`inventory check ${INVENTORY}`)).code).toBe(0);
    const rules = `rules check ${RULES} --inventory`;
    expect((await run(`${rules} ${INVENTORY}`)).code).toBe(0);
    const other = await run(`${rules} examples/franchise/inventory.yaml`);
    expect(other.code).toBe(2);
    expect(other.errors).toContain('service cortege-desk, which does not');
    expect((await run('inventory check missing.yaml')).code).toBe(2);
    expect((await run(`inventory check ${RULES}`)).code).toBe(2);
  });

  // Guards against a publication of items that are equal to those in force.
  it('publishes the difference on the given base', async () => {
    const {racks} = CONFIGURATION.state;
    const state = {...CONFIGURATION.state, racks: {...racks}};
    delete (state.racks as Record<string, unknown>)['sfax-sud-r2'];
    const host = await startHost({
      'GET /v1/configuration': () => ({version: 412, state}),
      [PUBLISH]: () => ({outcome: 'accepted', version: 413}),
    });
    const line = `inventory publish ${INVENTORY} --editor amal --base 400`;
    const result = await run(`${line} --entry ${host.url}`);
    expect(result.code).toBe(0);
    expect(result.output).toEqual([
      '+ racks/sfax-sud-r2',
      'accepted at version 413',
    ]);
    expect(host.calls[1]!.body).toMatchObject({
      base: 400,
      editor: 'amal',
      publication: 'new-key',
      change: {put: {racks: [{name: 'sfax-sud-r2'}], workers: []}},
    });
  });

  // Guards against an exit code that lets a script take a refused or unknown
  // publication for an accepted one.
  it.each<[string, Handler, number]>([
    ['accepted', () => ({outcome: 'accepted', version: 413}), 0],
    [
      'refused',
      () => ({
        outcome: 'refused',
        reason: {code: 'stale-base', message: 'changed by badr in record 412'},
      }),
      1,
    ],
    [
      'unavailable in the outcome',
      () => ({outcome: 'refused', reason: {code: 'unavailable', message: ''}}),
      4,
    ],
    ['conflict', answer(409, {code: 'conflict', detail: 'by badr'}), 1],
    [
      'conflict without effect',
      answer(409, {
        code: 'conflict',
        detail: 'the log is unavailable',
        details: {code: 'unavailable'},
      }),
      4,
    ],
    ['unknown', () => ({outcome: 'unknown', message: 'm', findOut: 'f'}), 3],
    ['lost', loseAnswer, 3],
    ['malformed', () => ({outcome: 'perhaps'}), 3],
    ['uncertain', answer(502, {code: 'uncertain', detail: 'd'}), 3],
    ['unavailable', answer(503, {code: 'unavailable', detail: 'd'}), 4],
    ['internal', answer(500, {code: 'internal', detail: 'd'}), 3],
  ])(
    'returns the exit code for the outcome %s',
    async (_name, handler, code) => {
      const host = await startHost({...GET_CONFIGURATION, [PUBLISH]: handler});
      const line = `rules publish ${RULES} --editor amal --entry ${host.url}`;
      expect((await run(line)).code).toBe(code);
    },
  );

  // Guards against a change that is published twice after a lost answer.
  it('does not repeat a publication whose answer was lost', async () => {
    const first = await startHost({
      ...GET_CONFIGURATION,
      [PUBLISH]: loseAnswer,
    });
    const second = await startHost({
      [PUBLISH]: () => ({outcome: 'accepted', version: 413}),
    });
    const line = `rules publish ${RULES} --editor amal`;
    const hosts = `--entry ${first.url} --entry ${second.url}`;
    const result = await run(`${line} ${hosts}`);
    expect(result.code).toBe(3);
    expect(result.errors).toContain('publish again on base 412');
    expect(second.calls).toEqual([]);
  });

  // Guards against a diff that publishes its change, and against a host list
  // that can't be used when its first host is unreachable.
  it('shows the difference and the configuration', async () => {
    const host = await startHost(GET_CONFIGURATION);
    const environment = {CARDAMOMFIELD_ENTRY: `${UNREACHABLE},${host.url}`};
    const diff = await run(
      'inventory diff examples/franchise/inventory.yaml --keep-others',
      {environment},
    );
    expect(diff.code).toBe(0);
    expect(diff.output).toContain('+ workers/dispatch-33');
    expect(diff.output.join()).not.toContain('- workers');
    const shown = await run('inventory show --json', {environment});
    expect(JSON.parse(shown.output[0]!)).toEqual(
      JSON.parse(JSON.stringify(CONFIGURATION)),
    );
    expect((await run('rules show', {environment})).output).toContain(
      'version 412',
    );
    expect(host.calls.every(call => call.route.startsWith('GET'))).toBe(true);
  });

  // Guards against a drain that changes more than the state of one worker.
  it('drains a worker', async () => {
    const host = await startHost({
      ...GET_CONFIGURATION,
      [PUBLISH]: () => ({outcome: 'accepted', version: 413}),
    });
    const line = `--editor amal --entry ${host.url}`;
    expect((await run(`drain worker desk-07 ${line}`)).code).toBe(0);
    const worker = {...CONFIGURATION.state.workers['desk-07']!};
    const {base, change} = host.calls[1]!.body as {base: number; change: never};
    const none = {racks: [], services: [], teams: [], rules: []};
    expect({base, change}).toEqual({
      base: 412,
      change: {
        kind: 'delta',
        put: {...none, workers: [{...worker, state: 'leaving'}]},
        remove: {...none, workers: []},
      },
    });
    expect((await run(`drain worker desk-99 ${line}`)).code).toBe(1);
    const undone = await run(`drain worker desk-07 --undo ${line}`);
    expect(undone.output).toEqual(['no change']);
  });
});

describe('requests', () => {
  const ran = {
    key: 'order-17',
    answer: {outcome: 'ran', key: 'order-17', results: [], notRun: []},
  };
  const reason = {code: 'unavailable', message: 'the log is unavailable'};

  // Guards against a request that runs twice, or is reported lost, because
  // the next entry host received another key.
  it('retries on the next entry host with the same key', async () => {
    const first = await startHost({[SUBMIT]: loseAnswer});
    const second = await startHost({[SUBMIT]: () => ran});
    const hosts = `--entry ${first.url} --entry ${second.url}`;
    const result = await run(`${SUBMIT_LINE} ${hosts} --payload {"a":1}`);
    expect(result.code).toBe(0);
    expect(result.errors).toContain('key new-key');
    for (const {calls} of [first, second]) {
      expect(calls).toMatchObject([
        {key: 'new-key', body: {payload: {a: 1}, idempotent: false}},
      ]);
      expect(calls[0]!.body).not.toHaveProperty('key');
    }
  });

  // Guards against an exit code that lets a script submit a request again
  // that may have run, or take a request that did not run for a success.
  it.each<[string, Handler, number]>([
    ['ran', () => ran, 0],
    ['accepted only', answer(202, {key: 'order-17', state: 'queued'}), 0],
    [
      'not-run',
      () => ({key: 'k', answer: {outcome: 'not-run', key: 'k', reason}}),
      1,
    ],
    [
      'unknown',
      () => ({key: 'k', answer: {outcome: 'unknown', key: 'k', reason}}),
      3,
    ],
    ['lost', loseAnswer, 3],
    ['refused', answer(400, {code: 'invalid-input', detail: 'team: none'}), 1],
    ['unavailable', answer(503, {code: 'unavailable', detail: 'd'}), 4],
  ])(
    'returns the exit code for the answer %s',
    async (_name, handler, code) => {
      const host = await startHost({[SUBMIT]: handler});
      const hosts = `--entry ${UNREACHABLE} --entry ${host.url}`;
      expect((await run(`${SUBMIT_LINE} ${hosts} --json`)).code).toBe(code);
    },
  );

  // Guards against the exit code for "no effect" when the first of two hosts
  // may have accepted the request.
  it('reports an unknown outcome when a later entry host is unavailable', async () => {
    const host = await startHost({[SUBMIT]: loseAnswer});
    const hosts = `--entry ${host.url} --entry ${UNREACHABLE}`;
    expect((await run(`${SUBMIT_LINE} ${hosts}`)).code).toBe(3);
  });

  // Guards against an unknown key that is shown as an unfinished request, and
  // against a cancellation of another request.
  it('shows and cancels by key', async () => {
    const host = await startHost({
      'GET /v1/requests/a%3A1': () => ran,
      'DELETE /v1/requests/a%3A1': () => ({key: 'a:1'}),
    });
    // The repeatable option must not consume the key that follows its value.
    expect((await run(`request show --entry ${host.url} a:1`)).code).toBe(0);
    const cancelled = await run(`request cancel a:1 --entry ${host.url}`);
    expect(cancelled).toMatchObject({code: 0, output: ['key: a:1']});
    const missing = await run(`request show a:2 --entry ${host.url}`);
    expect(missing.code).toBe(1);
  });

  // Guards against a watch that ends before the final answer, or that hides
  // the failure of its stream.
  it('watches until the final answer', async () => {
    const events = (last: (response: ServerResponse) => void): Handler => {
      return (_call, response) => {
        response.writeHead(200);
        response.write('{"key":"k","state":"queued"}\n', () => last(response));
      };
    };
    const host = await startHost({
      'GET /v1/requests/k/events': events(response =>
        response.end(`${JSON.stringify({...ran, key: 'k'})}\n`),
      ),
      'GET /v1/requests/broken/events': events(response => response.destroy()),
    });
    const line = `--json --entry ${host.url}`;
    const whole = await run(`request watch k ${line}`);
    expect(whole.code).toBe(0);
    expect(whole.output.map(text => JSON.parse(text))).toMatchObject([
      {state: 'queued'},
      {answer: {outcome: 'ran'}},
    ]);
    expect((await run(`request watch broken ${line}`)).code).toBe(4);
  });
});

describe('status and timeline', () => {
  const event = (process: string, wall: number, kind: string, key = 'k') => ({
    time: {wall, counter: 0},
    process,
    kind,
    fields: {key},
  });

  // Guards against a status that hides entry hosts which do not answer.
  it('shows every entry host', async () => {
    const host = await startHost({
      'GET /v1/status': () => ({
        process: 'entry-1',
        configurationVersion: 412,
        groups: [{group: 'amhara-r1', owner: 'entry-1', epoch: 9}],
        ejectedWorkers: [],
      }),
    });
    const {code, output} = await run(`status --entry ${host.url}`);
    expect(code).toBe(0);
    expect(output.join('\n')).toContain('amhara-r1  entry-1  9');
    expect(output).toContain('ejectedWorkers: none');
    const both = `status --json --entry ${host.url} --entry ${UNREACHABLE}`;
    const partial = await run(both);
    expect(partial.code).toBe(4);
    expect(JSON.parse(partial.output[0]!)).toMatchObject([
      {process: 'entry-1'},
      {url: UNREACHABLE, error: {code: 'unavailable'}},
    ]);
  });

  // Guards against events that are sorted by host instead of causal order.
  it('merges the timelines and filters them', async () => {
    const one = await startHost({
      'GET /v1/timeline': () => [
        event('one', 1, 'request.accepted'),
        event('one', 3, 'request.answered'),
        event('one', 4, 'request.accepted', 'other'),
      ],
    });
    const two = await startHost({
      'GET /v1/timeline': () => ({events: [event('two', 2, 'task.started')]}),
    });
    const line = `timeline --json --request k --entry ${one.url} --entry ${two.url}`;
    const {code, output} = await run(line);
    expect(code).toBe(0);
    const kinds = output.map(text => (JSON.parse(text) as {kind: string}).kind);
    expect(kinds).toEqual([
      'request.accepted',
      'task.started',
      'request.answered',
    ]);
    expect((await run(`${line} --kind task`)).output).toHaveLength(1);
  });

  // Guards against events that are printed again at every read.
  it('follows without repeating events', async () => {
    const interrupted = new AbortController();
    const clock = ManualClock.create();
    const events = [event('one', 1, 'a')];
    let reads = 0;
    const host = await startHost({
      'GET /v1/timeline': () => {
        reads += 1;
        if (reads === 2) events.push(event('one', 2, 'b'));
        if (reads === 4) setImmediate(() => interrupted.abort());
        return events;
      },
    });
    const line = `timeline --follow --entry ${host.url}`;
    const following = run(line, {signal: interrupted.signal, clock});
    while (!interrupted.signal.aborted) await clock.advance(1_000);
    const {code, output} = await following;
    expect(code).toBe(0);
    expect(output.map(text => text.split(' ').at(2))).toEqual(['a', 'b']);
  });
});

describe('voters', () => {
  // Guards against a reset by mistake, which would create a second set of
  // voters.
  it('resets only after a confirmation', async () => {
    const host = await startHost({
      'GET /v1/voters': () => ({version: 3, voters: ['a', 'b', 'c']}),
      'PUT /v1/voters': ({body}) => body,
    });
    const line = `voters reset --entry ${host.url} a b`;
    expect((await run(line)).code).toBe(2);
    expect(host.calls).toEqual([]);
    expect((await run(`${line} --majority-is-lost`)).code).toBe(0);
    expect(host.calls[0]!.body).toEqual({voters: ['a', 'b']});
    const shown = await run(`voters show --entry ${host.url}`);
    expect(shown.output).toContain('voters: a, b, c');
  });
});

describe('entry', () => {
  const SETTINGS = `--process-name entry-1 --region amhara --availability-zone a --log-service-url http://127.0.0.1:9000 --host-list-url http://127.0.0.1:9001`;

  // Guards against a daemon that starts with other settings than given.
  it('starts the daemon with the settings', async () => {
    const environment = {CARDAMOMFIELD_CALLER_PORT: '9'};
    const {code, started} = await run(`entry ${SETTINGS}`, {environment});
    expect(code).toBe(0);
    expect(started).toMatchObject([{processName: 'entry-1', callerPort: 9}]);
    const wrong = await run(`entry ${SETTINGS} --callerport 9`);
    expect(wrong).toMatchObject({code: 2, started: []});
    expect(wrong.errors).toContain('--callerport is not known');
  });

  // Guards against a daemon that starts instead of printing its settings.
  it('prints the settings without starting', async () => {
    const printed = await run(`entry --print-settings ${SETTINGS}`);
    expect(printed).toMatchObject({code: 0, started: []});
    expect(printed.output[0]).toContain('--process-name=entry-1');
  });
});

describe('usage', () => {
  // Guards against a usage error that has the exit code of a refusal.
  it.each([
    'invntory',
    'inventory',
    'status --unknown',
    'status',
    'status --entry localhost',
    `status --entry ${UNREACHABLE} --timeout-seconds 0`,
    `${SUBMIT_LINE} --entry ${UNREACHABLE} --tasks many`,
    `${SUBMIT_LINE} --entry ${UNREACHABLE} --payload {`,
    `voters reset not/a/name --entry ${UNREACHABLE} --majority-is-lost`,
  ])('refuses "%s"', async line => {
    const {code, errors} = await run(line);
    expect(code).toBe(2);
    expect(errors).not.toBe('');
  });

  // Guards against a subcommand without help.
  it.each([
    'entry',
    'inventory check',
    'inventory publish',
    'inventory show',
    'inventory diff',
    'rules check',
    'rules publish',
    'rules show',
    'submit',
    'request show',
    'request cancel',
    'request watch',
    'status',
    'timeline',
    'drain worker',
    'voters show',
    'voters reset',
  ])('explains "%s" with an example', async command => {
    const {code, output} = await run(`${command} --help`);
    expect(code).toBe(0);
    expect(output.join('\n')).toContain('Examples:\n  cardamomfield ');
  });

  // Guards against a completion script without the subcommands.
  it('prints a completion script', async () => {
    const {code, output} = await run('completion');
    expect(code).toBe(0);
    expect(output.join('\n')).toContain('cardamomfield');
  });
});
