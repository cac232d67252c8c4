/* global AbortSignal, fetch, setTimeout */
// Starts daemons, a store and workers as processes for the scripts of the cases,
// and calls the daemons as consumers do.
import {spawn} from 'node:child_process';
import {
  appendFileSync,
  mkdtempSync,
  readFileSync,
  rmSync,
  writeFileSync,
} from 'node:fs';
import {Agent, request} from 'node:http';
import {tmpdir} from 'node:os';
import {dirname, join} from 'node:path';
import process from 'node:process';
import {createInterface} from 'node:readline';
import {fileURLToPath} from 'node:url';

const LIBRARY = dirname(fileURLToPath(import.meta.url));
const ROOT = join(LIBRARY, '..', '..');
const HOST_HEADER = 'queue.example';
const PREFIX = '/checks/';
const SERVICE = 'desk';

export function steady() {
  return Number(process.hrtime.bigint()) / 1e6;
}

export function sleep(milliseconds) {
  return new Promise(resolve => setTimeout(resolve, milliseconds));
}

/** The command of the deploy file that runs a daemon. */
function runCommand() {
  const text = readFileSync(join(ROOT, 'deploy', 'system.toml'), 'utf8');
  return /^run = "(.*)"$/m.exec(text)[1].split(' ');
}

export class Cell {
  constructor(recordPath) {
    this.recordPath = recordPath;
    this.folder = mkdtempSync(join(tmpdir(), 'review-case-'));
    this.children = new Set();
    this.events = [];
    this.daemons = new Map();
    this.startedAt = steady();
    const high = 1 + (Math.floor(process.pid / 256) % 250);
    this.network = `127.${high}.${process.pid % 256}`;
    this.agent = new Agent({keepAlive: true});
    writeFileSync(recordPath, '');
  }

  /** Writes a line into the record of the case. */
  note(text) {
    const seconds = ((steady() - this.startedAt) / 1_000).toFixed(3);
    appendFileSync(this.recordPath, `${seconds} s  ${text}\n`);
  }

  track(child) {
    this.children.add(child);
    child.once('exit', () => this.children.delete(child));
    return child;
  }

  spawnStandIn(name, argument) {
    return this.track(
      spawn(process.execPath, [join(LIBRARY, name), argument], {
        stdio: ['pipe', 'pipe', 'inherit'],
      }),
    );
  }

  async startStore() {
    const child = this.spawnStandIn('store.mjs', `${this.network}.1`);
    const [line] = await firstLine(child);
    this.store = JSON.parse(line).address;
    this.note(`store at ${this.store}`);
  }

  async put(topic, key, value) {
    await fetch(`http://${this.store}/put?topic=${topic}&key=${key}`, {
      method: 'POST',
      body: JSON.stringify(value),
    });
  }

  /** The desired state: one queue without advice, and one service. */
  async publishDesiredState(version = 3) {
    await this.put('keyed.op', 'config', {
      version,
      routes: [
        {
          name: 'checks',
          host: HOST_HEADER,
          path_prefix: PREFIX,
          kind: 'unsafe',
          service: SERVICE,
          priority: 0,
          max_attempts: 4,
          stretch_factor: 1.5,
          target_latency_ms: 400,
          timeout_ms: 3_000,
        },
      ],
      services: [{name: SERVICE, standby: false}],
      limits: {max_body_bytes: 262_144},
    });
  }

  async startWorker(index, overrides = {}, onEvent = () => undefined) {
    const options = {
      ip: `${this.network}.${100 + index}`,
      id: `worker-${index}`,
      store: this.store,
      service: SERVICE,
      cpu: 32_000,
      memory: 131_072,
      labels: ['a', `r1-${index}`],
      zone: 'zone-a',
      killMilliseconds: 100,
      linkMilliseconds: 0,
      longestLeaseMilliseconds: 10_000,
      ...overrides,
    };
    const child = this.spawnStandIn('worker.mjs', JSON.stringify(options));
    const lines = createInterface({input: child.stdout});
    await new Promise(resolve =>
      lines.on('line', line => {
        const event = JSON.parse(line);
        this.events.push(event);
        this.note(`${event.worker} ${JSON.stringify(event)}`);
        onEvent(event);
        resolve();
      }),
    );
    return child;
  }

  /** Settings of one machine, with the fields and bounds of DEPLOY.md. */
  settingsOf(index, overrides) {
    const ip = `${this.network}.${10 + index}`;
    const {limits = {}, bounds = {}} = overrides;
    return {
      node_name: `edge-${index}`,
      role: 'cell',
      machine_class: 'edge',
      serves: ['edge', 'control_plane'],
      ip,
      zone: 'zone-a',
      region: 'region-a',
      zones: {'zone-a': 'region-a'},
      listen_addrs: {
        frontend: `${ip}:8161`,
        readiness: `${ip}:8167`,
        control_plane: `${ip}:8166`,
      },
      port_range: [7_720, 7_735],
      seeds: [1, 2, 3].map(seed => `${this.network}.${10 + seed}:8166`),
      bootstrap: true,
      limits: {
        cpu_quota: 0.675,
        cores: 1,
        memory_mb: 350,
        max_fds: 4_100,
        link_mbps: 1_000,
        disk_mb: 0,
        ...limits,
      },
      data_dir: null,
      discovery: 'platform',
      entry: 'vip',
      heartbeat_ms: 1_500,
      bounds: {
        grace_s: 6,
        hold_max_ms: 10_000,
        kill_timeout_ms: 400,
        gang_timeout_ms: 3_000,
        cancel_ms: 3_000,
        status_s: 120,
        ...bounds,
      },
      command_mode: 'request',
      platform: {
        address: this.store,
        form: 'log',
        writes_per_s: 800,
        reads_per_s: 2_000,
        parts: 24,
        append_ms: 1,
        record_bytes: 262_144,
        request_bytes: 2_097_152,
        keep_s: 300,
        partition_mb: 200,
        ttl_min_ms: 1_000,
      },
    };
  }

  startDaemon(index, overrides = {}) {
    const settings = this.settingsOf(index, overrides);
    const path = join(this.folder, `edge-${index}.yaml`);
    // JSON is YAML as well.
    writeFileSync(path, JSON.stringify(settings));
    const [program, ...words] = runCommand();
    const child = this.track(
      spawn(program === 'node' ? process.execPath : program, words, {
        cwd: ROOT,
        env: {
          PATH: process.env.PATH,
          HOME: process.env.HOME,
          LANG: process.env.LANG,
          CARDAMOMFIELD_CONFIG: path,
        },
        stdio: ['ignore', 'pipe', 'pipe'],
      }),
    );
    const logPath = join(this.folder, `edge-${index}.log`);
    child.stdout.on('data', chunk => appendFileSync(logPath, chunk));
    child.stderr.on('data', chunk => appendFileSync(logPath, chunk));
    child.once('exit', (code, signal) =>
      this.note(`edge-${index} exited: ${signal ?? code}`),
    );
    this.daemons.set(index, {child, settings, logPath});
    this.note(`edge-${index} started`);
    return child;
  }

  /** Calls the frontend of a daemon as a consumer does. */
  call(index, method, path, body) {
    const {settings} = this.daemons.get(index);
    const [host, port] = settings.listen_addrs.frontend.split(':');
    const sentAt = steady();
    return new Promise(resolve => {
      const settle = (status, text) => {
        const answeredAt = steady();
        this.note(
          `edge-${index} ${method} ${path} -> ${status} ${text.slice(0, 200)}`,
        );
        resolve({status, text, sentAt, answeredAt});
      };
      const outgoing = request(
        {
          host,
          port,
          method,
          path: `${PREFIX}${path}`,
          agent: this.agent,
          headers: {
            host: HOST_HEADER,
            'content-type': 'application/json',
            'deadline-ms': '3000',
          },
          timeout: 3_000,
        },
        response => {
          let text = '';
          response.setEncoding('utf8');
          response.on('data', chunk => (text += chunk));
          response.on('end', () => settle(response.statusCode, text));
          response.on('error', () => settle(0, 'broken'));
        },
      );
      outgoing.on('timeout', () => outgoing.destroy(new Error('timeout')));
      outgoing.on('error', error => settle(0, String(error.message)));
      outgoing.end(body === undefined ? undefined : JSON.stringify(body));
    });
  }

  /** Repeats a call at the daemons in turn until one of the statuses comes. */
  async callUntil(indexes, statuses, milliseconds, method, path, body) {
    const endsAt = steady() + milliseconds;
    for (let turn = 0; steady() < endsAt; turn++) {
      const index = indexes[turn % indexes.length];
      const answer = await this.call(index, method, path, body);
      if (statuses.includes(answer.status)) return {...answer, index};
      await sleep(300);
    }
    return undefined;
  }

  /** Waits until the readiness address of a daemon answers 200. */
  async awaitReady(index, milliseconds = 20_000) {
    const {settings} = this.daemons.get(index);
    const endsAt = steady() + milliseconds;
    while (steady() < endsAt) {
      const {readiness} = settings.listen_addrs;
      const answer = await fetch(`http://${readiness}/cardamomfield/readyz`, {
        signal: AbortSignal.timeout(500),
      }).catch(() => undefined);
      if (answer?.status === 200) return true;
      await sleep(100);
    }
    return false;
  }

  /** Ends all processes that this cell has started. */
  async end() {
    for (const child of this.children) {
      child.kill('SIGCONT');
      child.kill('SIGKILL');
    }
    this.agent.destroy();
    while (this.children.size > 0) await sleep(20);
    if (!process.env.KEEP_LOGS) rmSync(this.folder, {recursive: true});
  }
}

function firstLine(child) {
  return new Promise(resolve => {
    const lines = createInterface({input: child.stdout});
    lines.once('line', line => resolve([line]));
  });
}
