import {once} from 'node:events';
import {Worker} from 'node:worker_threads';
import {SystemClock} from '@cardamomfield/clock';
import {LogServer, LogService} from '@cardamomfield/platform-stand-ins';
import {build, decodeFromCompressedBase64} from 'hdr-histogram-js';

const PROCESSES = 9;
const RATES = [10, 100, 1_000, 5_000];

/** Time for the threads to start. */
const THREAD_START_MILLISECONDS = 2_000;
const WARM_UP_MILLISECONDS = 3_000;
const MEASURED_MILLISECONDS = 8_000;
const MILLISECONDS_PER_SECOND = 1_000;

/** Latency added to each way between a host and the log service. */
const LOG_LATENCY_MILLISECONDS = 1;

const SEED = 20_261_204;

/** The histogram records latencies in microseconds. */
const UNITS_PER_MILLISECOND = 1_000;

interface WorkerReport {
  recorded: number;
  failed: number;
  /** Share of time in which the event loop of the thread was busy. */
  utilization: number;
  /** Encoded histogram of the waiting times. */
  waits: string;
}

interface JournalBenchResult {
  requestsPerSecond: number;
  /** Number of intents that were recorded, and of those that failed. */
  recorded: number;
  failed: number;
  appendsPerSecond: number;
  itemsPerAppend: number;
  /** Time from the arrival of a request until its intent is read back. */
  waitMilliseconds: {p50: number; p99: number; highest: number};
  /** Size of record bodies with their envelope, without HTTP. */
  kilobytesPerSecond: {writtenByEach: number; readByEach: number};
  /** Mean busy share of a process, including its load generator. */
  busyShareOfEach: number;
}

/**
 * Measures the journal with nine simulated processes. They run as threads that
 * share one log over HTTP. Each request records an intent and an outcome.
 */
export async function runJournalBench(
  rates: readonly number[] = RATES,
): Promise<JournalBenchResult[]> {
  const results: JournalBenchResult[] = [];
  for (const rate of rates) {
    const result = await measure(rate);
    process.stdout.write(`${JSON.stringify(result)}\n`);
    results.push(result);
  }
  return results;
}

async function measure(rate: number): Promise<JournalBenchResult> {
  const clock = SystemClock.create();
  const service = LogService.create({clock});
  service.faults.set({
    delayMilliseconds: LOG_LATENCY_MILLISECONDS,
    answerDelayMilliseconds: LOG_LATENCY_MILLISECONDS,
  });
  const server = await LogServer.create({service, clock});
  const warmUpAt = clock.wallNow() + THREAD_START_MILLISECONDS;
  const measureAt = warmUpAt + WARM_UP_MILLISECONDS;
  const endAt = measureAt + MEASURED_MILLISECONDS;
  const reports = await Promise.all(
    Array.from({length: PROCESSES}, (_, index) =>
      runWorker({
        address: server.address(),
        index,
        seed: SEED,
        rate: rate / PROCESSES,
        warmUpAt,
        measureAt,
        endAt,
      }),
    ),
  );
  await server.close();
  const bodies = service
    .records('journal')
    .filter(({appendedAt}) => appendedAt >= measureAt && appendedAt < endAt)
    .map(record => JSON.stringify(record.body).length);
  return summarise(rate, reports, bodies);
}

async function runWorker(workerData: unknown): Promise<WorkerReport> {
  const file = new URL('./journal_bench_worker.js', import.meta.url);
  const worker = new Worker(file, {workerData});
  const exited = once(worker, 'exit');
  const [report] = (await once(worker, 'message')) as [WorkerReport];
  await exited;
  return report;
}

function summarise(
  rate: number,
  reports: readonly WorkerReport[],
  bodies: readonly number[],
): JournalBenchResult {
  const sum = (values: readonly number[]) =>
    values.reduce((total, value) => total + value, 0);
  const seconds = MEASURED_MILLISECONDS / MILLISECONDS_PER_SECOND;
  const waits = build({numberOfSignificantValueDigits: 3});
  for (const report of reports) {
    waits.add(decodeFromCompressedBase64(report.waits));
  }
  const percentile = (value: number) =>
    round(waits.getValueAtPercentile(value) / UNITS_PER_MILLISECOND);
  const recorded = sum(reports.map(report => report.recorded));
  const readRate = sum(bodies) / seconds / MILLISECONDS_PER_SECOND;
  return {
    requestsPerSecond: rate,
    recorded,
    failed: sum(reports.map(report => report.failed)),
    appendsPerSecond: round(bodies.length / seconds),
    itemsPerAppend: round((2 * recorded) / bodies.length),
    waitMilliseconds: {
      p50: percentile(50),
      p99: percentile(99),
      highest: percentile(100),
    },
    kilobytesPerSecond: {
      writtenByEach: round(readRate / PROCESSES),
      readByEach: round(readRate),
    },
    busyShareOfEach: round(
      sum(reports.map(report => report.utilization)) / PROCESSES,
    ),
  };
}

function round(value: number): number {
  return Math.round(value * 1_000) / 1_000;
}
