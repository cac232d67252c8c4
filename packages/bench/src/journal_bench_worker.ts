import {performance} from 'node:perf_hooks';
import {parentPort, workerData} from 'node:worker_threads';
import {
  type Clock,
  SeededRandomSource,
  SystemClock,
} from '@cardamomfield/clock';
import {SilentLogger} from '@cardamomfield/logger';
import {MemoryMetrics} from '@cardamomfield/metrics';
import {HttpPlatformLog} from '@cardamomfield/platform-http';
import {RequestJournal} from '@cardamomfield/request-journal';
import {
  build,
  encodeIntoCompressedBase64,
  type Histogram,
} from 'hdr-histogram-js';

/** Timeout of recording an intent or an outcome. */
const CALL_MILLISECONDS = 4_000;

/** Lifetime of a request. */
const REQUEST_MILLISECONDS = 60_000;

/** The histogram records latencies in microseconds. */
const UNITS_PER_MILLISECOND = 1_000;

const MILLISECONDS_PER_SECOND = 1_000;

interface BenchTask {
  /** Base URL of the log service. */
  address: string;
  index: number;
  seed: number;
  /** Requests per second of this process. */
  rate: number;
  /** Wall-clock times at which the warm-up and the measurement begin. */
  warmUpAt: number;
  measureAt: number;
  endAt: number;
}

interface BenchRun {
  task: BenchTask;
  clock: Clock;
  journal: RequestJournal;
  random: SeededRandomSource;
  waits: Histogram;
  counts: {recorded: number; failed: number};
}

await main(workerData as BenchTask);

/** Runs one simulated process of the journal bench on its own thread. */
async function main(task: BenchTask): Promise<void> {
  const clock = SystemClock.create();
  const log = HttpPlatformLog.create({address: task.address, clock});
  const run: BenchRun = {
    task,
    clock,
    journal: RequestJournal.create({
      log,
      clock,
      random: SeededRandomSource.create(task.seed + task.index),
      logger: SilentLogger.create(),
      metrics: MemoryMetrics.create(),
      writer: `host-${task.index}/1`,
    }),
    random: SeededRandomSource.create(task.seed - task.index),
    waits: build({numberOfSignificantValueDigits: 3}),
    counts: {recorded: 0, failed: 0},
  };
  const stopping = new AbortController();
  const running = run.journal.run(stopping.signal);
  await submitRequests(run, task.warmUpAt, task.measureAt);
  run.waits.reset();
  run.counts = {recorded: 0, failed: 0};
  const before = performance.eventLoopUtilization();
  await submitRequests(run, task.measureAt, task.endAt);
  const {utilization} = performance.eventLoopUtilization(before);
  const {counts, waits} = run;
  parentPort!.postMessage({
    ...counts,
    utilization,
    waits: encodeIntoCompressedBase64(waits),
  });
  stopping.abort();
  await running;
  await log.close();
}

/** Sends requests at their due times without waiting for earlier ones. */
async function submitRequests(
  run: BenchRun,
  from: number,
  until: number,
): Promise<void> {
  const {clock, task} = run;
  const begin = clock.monotonicNow() + from - clock.wallNow();
  const interval = MILLISECONDS_PER_SECOND / task.rate;
  const end = begin + until - from;
  const requests: Array<Promise<void>> = [];
  // Spreads the first requests of the processes over one interval.
  let dueAt = begin + run.random.fraction() * interval;
  for (; dueAt < end; dueAt += interval) {
    if (dueAt > clock.monotonicNow()) await clock.sleepUntil(dueAt);
    requests.push(submitRequest(run, dueAt));
  }
  await Promise.all(requests);
  await clock.sleepUntil(end);
}

async function submitRequest(run: BenchRun, dueAt: number): Promise<void> {
  const {clock, journal, random, task, waits, counts} = run;
  const key = hexadecimal(random, 8);
  const intent = {
    key,
    bodyHash: hexadecimal(random, 4),
    coordinator: `host-${task.index}`,
    incarnation: '1',
    deadline: clock.wallNow() + REQUEST_MILLISECONDS,
  };
  const deadline = dueAt + CALL_MILLISECONDS;
  const recorded = await journal.recordIntent(intent, deadline);
  if (recorded.isLeft()) {
    counts.failed += 1;
    return;
  }
  counts.recorded += 1;
  const wait = clock.monotonicNow() - dueAt;
  waits.recordValue(Math.round(wait * UNITS_PER_MILLISECOND));
  const value = {order: hexadecimal(random, 4)};
  const worker = `worker-${random.integerBelow(33)}`;
  const results = [{index: 0, succeeded: true, worker, value}];
  await journal.recordOutcome(
    {outcome: 'ran', key, results, notRun: []},
    clock.monotonicNow() + CALL_MILLISECONDS,
  );
}

/** Random text with four hexadecimal digits per word. */
function hexadecimal(random: SeededRandomSource, words: number): string {
  const parts = Array.from({length: words}, () =>
    random.integerBelow(65_536).toString(16).padStart(4, '0'),
  );
  return parts.join('');
}
