import {readFileSync} from 'node:fs';
import {Caller, LocalCluster} from '@cardamomfield/local-cluster';
import type {CommandModule} from 'yargs';
import {printTable} from './print_table.js';

/** Measured numbers of racks; the differences give the cost per rack. */
const RACK_COUNTS = [3, 6, 12];
const WORKERS_PER_RACK = 4;
const ENTRY_HOSTS = 9;

/** Time for claims and connections to stabilise before a measurement. */
const SETTLE_MILLISECONDS = 5_000;
const MEASURED_MILLISECONDS = 15_000;

/** Clock ticks of `/proc/PID/stat` in one second. */
const TICKS_PER_SECOND = 100;
const BYTES_PER_KILOBYTE = 1_000;
const KIBIBYTES_PER_MEBIBYTE = 1_024;

interface Sample {
  processorSeconds: number;
  residentMebibytes: number;
  sentBytes: number;
  sentMessages: number;
}

/** `npm run bench -- control-cost`: cost of an idle cluster, per daemon. */
export const CONTROL_COST_BENCH: CommandModule = {
  command: 'control-cost',
  describe: 'Processor time, memory and traffic of idle entry hosts',
  handler: async () => {
    const rows = [
      ['racks', 'workers', 'core %', 'RSS MiB', 'sent KB/s', 'messages/s'],
    ];
    for (const racks of RACK_COUNTS) rows.push(await measure(racks));
    printTable(`idle control of ${ENTRY_HOSTS} entry hosts, per daemon`, rows);
    process.exit(0);
  },
};

async function measure(racks: number): Promise<string[]> {
  const cluster = await LocalCluster.create({
    entryHosts: ENTRY_HOSTS,
    racks,
    workersPerRack: WORKERS_PER_RACK,
    services: ['dispatch'],
    teams: ['depot'],
    entryFlags: ['--log-level=warn'],
  });
  await sleep(SETTLE_MILLISECONDS);
  const before = await sample(cluster);
  await sleep(MEASURED_MILLISECONDS);
  const after = await sample(cluster);
  await cluster.stop();
  const seconds = MEASURED_MILLISECONDS / 1_000;
  const perHost = (name: keyof Sample) =>
    (after[name] - before[name]) / seconds / ENTRY_HOSTS;
  return [
    String(racks),
    String(racks * WORKERS_PER_RACK),
    (perHost('processorSeconds') * 100).toFixed(2),
    (after.residentMebibytes / ENTRY_HOSTS).toFixed(0),
    (perHost('sentBytes') / BYTES_PER_KILOBYTE).toFixed(1),
    perHost('sentMessages').toFixed(0),
  ];
}

/** Reads the current values, summed over all entry hosts. */
async function sample(cluster: LocalCluster): Promise<Sample> {
  const sum = {
    processorSeconds: 0,
    residentMebibytes: 0,
    sentBytes: 0,
    sentMessages: 0,
  };
  for (const {process: child, url} of cluster.entries.values()) {
    const stat = readFileSync(`/proc/${child.pid}/stat`, 'utf8');
    const fields = stat.slice(stat.lastIndexOf(')') + 2).split(' ');
    const ticks = Number(fields[11]) + Number(fields[12]);
    sum.processorSeconds += ticks / TICKS_PER_SECOND;
    const status = readFileSync(`/proc/${child.pid}/status`, 'utf8');
    const resident = /VmRSS:\s+(\d+)/.exec(status)?.[1] ?? '0';
    sum.residentMebibytes += Number(resident) / KIBIBYTES_PER_MEBIBYTE;
    const answer = (await Caller.create(url).read('/v1/status')) as {
      traffic: {
        byPeer: Record<string, {sentBytes: number; sentMessages: number}>;
      };
    };
    for (const traffic of Object.values(answer.traffic.byPeer)) {
      sum.sentBytes += traffic.sentBytes;
      sum.sentMessages += traffic.sentMessages;
    }
  }
  return sum;
}

function sleep(milliseconds: number): Promise<void> {
  return new Promise(resolve => setTimeout(resolve, milliseconds));
}
