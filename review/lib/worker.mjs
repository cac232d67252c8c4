import {createServer} from 'node:http';
import {performance} from 'node:perf_hooks';
import {clearInterval, setInterval} from 'node:timers';
import {setTimeout as sleep} from 'node:timers/promises';

const HEARTBEAT_MILLISECONDS = 1_500;
const SETTLE_MILLISECONDS = 10;
const LONGEST_LEASE_MILLISECONDS = 10_000;
const KILL_MILLISECONDS = 200;
const LISTED_ENDS = 500;

/** Startup of a lasting task, in milliseconds. */
const LASTING_STARTUP_MILLISECONDS = 500;

/**
 * Stand-in for one worker as PROTOCOL.md describes it, without
 * `admission_control`. It reads a task's need and duration from `spec`, which
 * is JSON: `ms` (0 for a task that lasts), `cpu`, `mb`.
 */
export class Worker {
  id;
  /** Runs that are on the worker, by task. */
  runs = new Map();
  #capacity;
  #labels;
  #record;
  #store;
  #onStart;
  #server;
  #port = 0;
  #ip;
  #isUp = false;
  #publishedAddress;
  #sequence = 0;
  #timer;

  constructor({id, capacity, labels, record, store, onStart}) {
    this.id = id;
    this.#capacity = capacity;
    this.#labels = labels;
    this.#record = record;
    this.#store = store;
    this.#onStart = onStart;
  }

  get address() {
    return `${this.#ip}:${this.#port}`;
  }

  /** Publishes the address of a proxy in place of the worker's own. */
  publish(address) {
    this.#publishedAddress = address;
    this.#writeEntry();
  }

  get capacity() {
    return this.#capacity;
  }

  get labels() {
    return this.#labels;
  }

  /** Cores in use by all runs, also by those that are being stopped. */
  get usedMilliCores() {
    return [...this.runs.values()].reduce((sum, run) => sum + run.cpu, 0);
  }

  async start(ip) {
    this.#ip = ip;
    await this.#begin();
  }

  /** Ends the process of the worker and everything that runs on it. */
  crash() {
    this.#isUp = false;
    clearInterval(this.#timer);
    for (const [task, run] of this.runs) this.#noteEnd(task, run, 'crashed');
    this.runs.clear();
    this.#server.close();
    this.#server.closeAllConnections();
    this.#record.write(`worker ${this.id}: crashed`);
  }

  /** The platform removes the entry of a worker that has been silent. */
  leave() {
    this.#store.write('keyed.servers', this.id, undefined);
    this.#record.write(`worker ${this.id}: entry removed`);
  }

  /** Starts a new incarnation under the same id and address. */
  async restart({capacity = this.#capacity, labels = this.#labels} = {}) {
    this.#capacity = {...this.#capacity, ...capacity};
    this.#labels = labels;
    await this.#begin();
  }

  stop() {
    if (!this.#isUp) return;
    this.#isUp = false;
    clearInterval(this.#timer);
    this.#server.close();
    this.#server.closeAllConnections();
  }

  async #begin() {
    this.born = Date.now();
    this.#sequence = 0;
    this.clockStartedAt = performance.now();
    this.lastToken = 0;
    this.leaseEnd = 0;
    this.endCount = 0;
    this.ends = [];
    this.closed = new Map();
    this.runs = new Map();
    const server = createServer((request, response) => {
      void this.#serve(request, response, this.born);
    });
    this.#server = server;
    await new Promise((resolve, reject) => {
      server.once('error', reject);
      server.listen(this.#port, this.#ip, resolve);
    });
    this.#port = server.address().port;
    this.#isUp = true;
    this.#timer = setInterval(() => this.#settle(), SETTLE_MILLISECONDS);
    this.#record.write(
      `worker ${this.id}: started, born ${this.born}, capacity ${JSON.stringify(this.#capacity)}, labels ${this.#labels.join(' ')}`,
    );
    void this.#heartbeat(this.born);
  }

  async #heartbeat(born) {
    let isFirst = true;
    while (this.#isUp && this.born === born) {
      const isWritten = this.#writeEntry();
      if (isWritten && isFirst) {
        this.#record.write(`worker ${this.id}: entry of ${born} stored`);
        isFirst = false;
      }
      await sleep(HEARTBEAT_MILLISECONDS);
    }
  }

  /** False while the store is down. */
  #writeEntry() {
    this.#sequence++;
    return this.#store.write('keyed.servers', this.id, {
      service: 'desk',
      address: this.#publishedAddress ?? this.address,
      zone: 'zone-1',
      version: 'v1',
      slots: 8,
      state: 'ready',
      cold_remaining_ms: 0,
      capacity: this.#capacity,
      labels: this.#labels,
      sequence: this.#sequence,
      born: this.born,
    });
  }

  async #serve(request, response, born) {
    const chunks = [];
    request.on('error', () => {});
    for await (const chunk of request) chunks.push(chunk);
    const body = JSON.parse(chunks.join('') || '{}');
    const answer = await this.#handle(request, body, born);
    if (this.born !== born || !this.#isUp || request.socket.destroyed) return;
    response.writeHead(answer.status, {'content-type': 'application/json'});
    response.end(
      JSON.stringify({
        clock_ms: Math.floor(this.#clock()),
        born: this.born,
        ...answer.body,
      }),
    );
  }

  async #handle(request, body, born) {
    if (request.headers['expected-instance'] !== this.id) {
      return {status: 421, body: {}};
    }
    const token = Number(body.fencing_token ?? 0);
    if (token < this.lastToken) return {status: 409, body: {reason: 'fence'}};
    this.lastToken = token;
    this.#settle();
    switch (request.url) {
      case '/cardamomfield/run-start':
        return this.#startRun(body);
      case '/cardamomfield/run-stop':
        return this.#stopRun(body);
      case '/cardamomfield/pace':
        return {status: 200, body: {}};
      case '/cardamomfield/hold':
        return this.#hold(body, born, request.socket);
      default:
        return {status: 404, body: {}};
    }
  }

  #startRun(body) {
    const {task, attempt} = body;
    this.#extendLease(body.expires_ms);
    const present = this.runs.get(task);
    if (present?.attempt === attempt) return {status: 200, body: {}};
    if (present || attempt <= (this.closed.get(task) ?? 0)) {
      return {status: 409, body: {reason: 'old'}};
    }
    if (this.leaseEnd <= this.#clock()) {
      return {status: 409, body: {reason: 'late'}};
    }
    const need = JSON.parse(body.spec);
    this.runs.set(task, {
      attempt,
      cpu: need.cpu ?? 0,
      lasts: need.ms === 0,
      startedAt: performance.now(),
      endsAt: need.ms === 0 ? Infinity : performance.now() + need.ms,
      killedAt: undefined,
      kind: 'done',
    });
    this.#record.write(
      `worker ${this.id}: run ${task} attempt ${attempt} started by token ${body.fencing_token}, ${this.usedMilliCores} of ${this.#capacity.cpu} millicores in use`,
    );
    this.#onStart({worker: this, task, attempt, token: body.fencing_token});
    return {status: 200, body: {}};
  }

  #stopRun({task, attempt}) {
    const run = this.runs.get(task);
    if (run && run.attempt <= attempt) this.#kill(run, 'stopped');
    this.#close(task, attempt);
    this.#record.write(`worker ${this.id}: told to stop ${task} ${attempt}`);
    return {status: 200, body: {}};
  }

  async #hold(body, born, socket) {
    this.#extendLease(body.expires_ms ?? 0);
    this.ends = this.ends.filter(([number]) => number > body.ack_cursor);
    const endsAt = performance.now() + Number(body.wait_ms ?? 0);
    while (
      this.ends.length === 0 &&
      performance.now() < endsAt &&
      this.born === born &&
      !socket.destroyed
    ) {
      await sleep(SETTLE_MILLISECONDS);
    }
    const running = [...this.runs].map(([task, run]) => [
      task,
      run.attempt,
      '',
      percentDone(run),
      0,
    ]);
    return {
      status: 200,
      body: {running, finished: this.ends.slice(0, LISTED_ENDS)},
    };
  }

  /** Ends runs that are complete, stopped or without a lease. */
  #settle() {
    const now = performance.now();
    for (const [task, run] of [...this.runs]) {
      if (this.leaseEnd <= this.#clock()) this.#kill(run, 'lapsed');
      if (run.endsAt > now) continue;
      this.runs.delete(task);
      this.#close(task, run.attempt);
      this.endCount++;
      this.ends.push([this.endCount, task, run.attempt, run.kind, '']);
      this.#noteEnd(task, run, run.kind);
    }
  }

  #kill(run, kind) {
    if (run.killedAt !== undefined) return;
    run.killedAt = performance.now();
    run.kind = kind;
    run.endsAt = run.killedAt + KILL_MILLISECONDS;
  }

  #noteEnd(task, run, kind) {
    this.#record.write(
      `worker ${this.id}: run ${task} attempt ${run.attempt} ended ${kind}`,
    );
  }

  #close(task, attempt) {
    this.closed.set(task, Math.max(this.closed.get(task) ?? 0, attempt));
  }

  #extendLease(expiresAt) {
    const longest = this.#clock() + LONGEST_LEASE_MILLISECONDS;
    this.leaseEnd = Math.max(this.leaseEnd, Math.min(expiresAt, longest));
  }

  #clock() {
    return performance.now() - this.clockStartedAt;
  }
}

function percentDone(run) {
  const elapsed = performance.now() - run.startedAt;
  const whole = run.lasts
    ? LASTING_STARTUP_MILLISECONDS
    : run.endsAt - run.startedAt;
  return Math.min(run.lasts ? 100 : 99, Math.floor((100 * elapsed) / whole));
}
