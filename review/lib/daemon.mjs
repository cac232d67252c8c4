import {spawn} from 'node:child_process';
import {createWriteStream, readFileSync, writeFileSync} from 'node:fs';
import {join} from 'node:path';
import process from 'node:process';

const FRONTEND_PORT = 8_161;
const READINESS_PORT = 8_167;
const CONTROL_PORT = 8_166;
const REPOSITORY = join(import.meta.dirname, '..', '..');

/** One daemon, started with the command of the deploy file. */
export class Daemon {
  #folder;
  #settings;
  #process;
  #record;

  constructor({name, ip, seeds, storeAddress, folder, record}) {
    this.name = name;
    this.ip = ip;
    this.frontend = `${ip}:${FRONTEND_PORT}`;
    this.#folder = folder;
    this.#record = record;
    this.#settings = settingsOf({name, ip, seeds, storeAddress});
  }

  static controlAddress(ip) {
    return `${ip}:${CONTROL_PORT}`;
  }

  get logPath() {
    return join(this.#folder, `${this.name}.log`);
  }

  get log() {
    return readFileSync(this.logPath, 'utf8');
  }

  start() {
    const settingsPath = join(this.#folder, `${this.name}.yaml`);
    // JSON is a subset of YAML.
    writeFileSync(settingsPath, JSON.stringify(this.#settings, undefined, 2));
    const log = createWriteStream(this.logPath, {flags: 'a'});
    const [program, ...flags] = runCommand();
    const child = spawn(program, flags, {
      cwd: REPOSITORY,
      env: {
        PATH: process.env.PATH,
        HOME: process.env.HOME,
        CARDAMOMFIELD_CONFIG: settingsPath,
      },
      stdio: ['ignore', 'pipe', 'pipe'],
    });
    child.stdout.pipe(log);
    child.stderr.pipe(log, {end: false});
    child.once('exit', (code, signal) => {
      this.#record.write(`${this.name}: process ended, ${code ?? signal}`);
      if (this.#process === child) this.#process = undefined;
    });
    this.#process = child;
  }

  get isRunning() {
    return this.#process !== undefined;
  }

  signal(name) {
    this.#record.write(`${this.name}: ${name}`);
    this.#process?.kill(name);
  }

  async end() {
    const child = this.#process;
    if (!child) return;
    const exited = new Promise(resolve => child.once('exit', resolve));
    child.kill('SIGKILL');
    await exited;
  }
}

/** The `run` command of the only role in the deploy file. */
function runCommand() {
  const text = readFileSync(join(REPOSITORY, 'deploy', 'system.toml'), 'utf8');
  return /^run = "(.*)"$/m.exec(text)[1].split(' ');
}

function settingsOf({name, ip, seeds, storeAddress}) {
  return {
    node_name: name,
    role: 'cell',
    machine_class: 'edge',
    serves: ['edge', 'control_plane'],
    ip,
    zone: 'zone-1',
    region: 'region-1',
    zones: {'zone-1': 'region-1'},
    listen_addrs: {
      frontend: `${ip}:${FRONTEND_PORT}`,
      readiness: `${ip}:${READINESS_PORT}`,
      control_plane: Daemon.controlAddress(ip),
    },
    port_range: [7_720, 7_735],
    seeds,
    bootstrap: true,
    limits: {
      cpu_quota: 0.675,
      cores: 1,
      memory_mb: 350,
      max_fds: 4_100,
      link_mbps: 1_000,
      disk_mb: 0,
    },
    data_dir: null,
    discovery: 'platform',
    entry: 'vip',
    heartbeat_ms: 1_500,
    bounds: {
      contact_ms: 3_000,
      ack_timeout_ms: 4_000,
      drain_ms: 2_500,
      grace_s: 6,
      config_apply_ms: 2_500,
      hold_max_ms: 10_000,
      kill_timeout_ms: 400,
      gang_timeout_ms: 3_000,
      cancel_ms: 3_000,
      visible_ms: 3_000,
      finish_s: 14,
      status_s: 120,
      lease_ms: 3_000,
    },
    command_mode: 'request',
    recommendation: null,
    platform: {
      address: storeAddress,
      form: 'log',
      writes_per_s: 800,
      reads_per_s: 2_000,
      parts: 24,
      append_ms: 1,
      partition_mb_s: 20,
      read_mb_s: 80,
      record_bytes: 262_144,
      request_bytes: 2_097_152,
      keep_s: 300,
      partition_mb: 200,
      ttl_min_ms: 1_000,
    },
  };
}
