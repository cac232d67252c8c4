import {mkdtempSync, rmSync} from 'node:fs';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import process from 'node:process';
import {clearTimeout, setTimeout} from 'node:timers';
import {setTimeout as sleep} from 'node:timers/promises';
import {Consumer} from './consumer.mjs';
import {Daemon} from './daemon.mjs';
import {Proxy} from './proxy.mjs';
import {Record} from './record.mjs';
import {Store} from './store.mjs';
import {Worker} from './worker.mjs';

const POLL_MILLISECONDS = 20;
const READY_LIMIT_MILLISECONDS = 20_000;
const RACK_LABEL = 'r1-1';

/** Time after which a script gives up, below the 120 s that it may take. */
const CASE_LIMIT_MILLISECONDS = 110_000;

/** Exit codes of a case. */
const EXIT = {held: 0, broken: 1, notRun: 2};

/** Raised when a case cannot run, which says nothing about the rule. */
export class NotRun extends Error {}

/**
 * A small deployment: daemons as processes, and stand-ins for the store, the
 * workers and the operator.
 */
export class Cell {
  daemons = [];
  workers = [];
  /** Proxies in front of workers, in their order. */
  proxies = [];
  /** Starts of runs that the workers have seen, oldest first. */
  starts = [];
  /** Starts that brought a worker over its capacity. */
  overloads = [];
  #folder = mkdtempSync(join(tmpdir(), 'review-'));
  #consumers = [];

  constructor(record) {
    this.record = record;
    this.store = new Store(record);
  }

  async start({daemonCount, workers, maximumAttempts = 4}) {
    await this.store.listen('127.0.0.1');
    this.store.write('keyed.op', 'config', desiredState(maximumAttempts));
    for (const [index, worker] of workers.entries()) {
      await this.addWorker(`worker-${index + 1}`, worker);
    }
    const ips = Array.from({length: daemonCount}, (_, index) => ipOf(index));
    for (const [index, ip] of ips.entries()) {
      const daemon = new Daemon({
        name: `daemon-${index + 1}`,
        ip,
        seeds: ips.slice(0, 3).map(each => Daemon.controlAddress(each)),
        storeAddress: this.store.address,
        folder: this.#folder,
        record: this.record,
      });
      this.daemons.push(daemon);
      daemon.start();
    }
    await this.waitFor('all daemons to serve', async () => {
      const probe = this.consumer('probe');
      for (const daemon of this.daemons) {
        if (!daemon.isRunning) throw new NotRun(daemon.log.slice(0, 2_000));
        const {status} = await probe.call('GET', daemon, '');
        if (status !== 200) return false;
      }
      return true;
    });
    // All workers have been polled by then.
    await sleep(2_000);
  }

  /** With a proxy, the daemons reach the worker through it. */
  async addWorker(id, {capacity, labels = ['a', RACK_LABEL], hasProxy}) {
    const worker = new Worker({
      id,
      capacity: {memory_request_mb: 65_536, gpu: 0, ...capacity},
      labels,
      record: this.record,
      store: this.store,
      onStart: start => this.#noteStart(start),
    });
    this.workers.push(worker);
    await worker.start('127.0.0.1');
    if (!hasProxy) return;
    const proxy = new Proxy(worker.address, this.record);
    await proxy.listen('127.0.0.1');
    worker.publish(proxy.address);
    this.proxies.push(proxy);
  }

  #noteStart(start) {
    this.starts.push({...start, at: this.record.now()});
    const {worker, task, attempt} = start;
    const {usedMilliCores, capacity} = worker;
    if (usedMilliCores <= capacity.cpu) return;
    this.overloads.push(
      `the start of ${task} attempt ${attempt} brought ${worker.id} to ${usedMilliCores} of ${capacity.cpu} millicores`,
    );
  }

  consumer(name) {
    const consumer = new Consumer(name, this.record);
    this.#consumers.push(consumer);
    return consumer;
  }

  /** The daemon that claimed the shard last, by the record in its log. */
  owner() {
    const text = this.store.read('keyed.cell-0', 'o');
    if (text === undefined) return undefined;
    const {hostName} = JSON.parse(text);
    return this.daemons.find(({name}) => name === hostName);
  }

  async waitFor(what, condition, limit = READY_LIMIT_MILLISECONDS) {
    const endsAt = this.record.now() + limit;
    while (this.record.now() < endsAt) {
      const value = await condition();
      if (value) return value;
      await sleep(POLL_MILLISECONDS);
    }
    throw new NotRun(`waited in vain for ${what}`);
  }

  async close() {
    await Promise.all(this.daemons.map(daemon => daemon.end()));
    for (const consumer of this.#consumers) consumer.close();
    for (const worker of this.workers) worker.stop();
    for (const proxy of this.proxies) proxy.close();
    this.store.close();
    if (!process.env.KEEP) rmSync(this.#folder, {recursive: true, force: true});
    else this.record.write(`logs are in ${this.#folder}`);
  }
}

/**
 * Runs a case: `play` gets the cell and whether to cause the trouble, and
 * returns the broken rules as texts. Exits with 1, 0 or 2.
 */
export async function runCase(folder, play) {
  const record = new Record(join(folder, 'record.txt'));
  const cell = new Cell(record);
  const hasTrouble = process.env.TROUBLE !== '0';
  record.write(`case started, TROUBLE=${hasTrouble ? 1 : 0}`);
  let code = EXIT.notRun;
  const limit = setTimeout(() => {
    record.write('the case took too long');
    void finish(cell, EXIT.notRun);
  }, CASE_LIMIT_MILLISECONDS);
  try {
    const broken = await play(cell, hasTrouble);
    for (const text of broken) record.write(`BROKEN ${text}`);
    if (broken.length === 0) record.write('HELD');
    code = broken.length > 0 ? EXIT.broken : EXIT.held;
  } catch (error) {
    record.write(`NOT RUN ${error.stack}`);
  }
  clearTimeout(limit);
  await finish(cell, code);
}

async function finish(cell, code) {
  await cell.close();
  process.exit(code);
}

/** Loopback addresses that depend on the process, so that runs don't collide. */
function ipOf(index) {
  const high = 1 + (Math.floor(process.pid / 200) % 250);
  return `127.${high}.${1 + (process.pid % 200)}.${10 + index}`;
}

function desiredState(maximumAttempts) {
  return {
    version: 1,
    routes: [
      {
        name: 'checks',
        host: 'queue.example',
        path_prefix: '/checks/',
        kind: 'unsafe',
        service: 'desk',
        priority: 0,
        max_attempts: maximumAttempts,
        target_latency_ms: 400,
        timeout_ms: 3_000,
        stretch_factor: 1.5,
      },
    ],
    services: [{name: 'desk', standby: false}],
    limits: {max_body_bytes: 262_144},
  };
}
