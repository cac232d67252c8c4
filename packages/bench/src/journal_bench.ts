import {
  type Clock,
  SeededRandomSource,
  SystemClock,
} from '@cardamomfield/clock';
import {SilentLogger} from '@cardamomfield/logger';
import {MemoryMetrics} from '@cardamomfield/metrics';
import {LogService, MemoryPlatformLog} from '@cardamomfield/platform-stand-ins';
import {RequestJournal} from '@cardamomfield/request-journal';
import {build, type Histogram} from 'hdr-histogram-js';

const PROCESSES = 9;
const RATES = [10, 100, 1_000, 5_000];
const WARM_UP_MILLISECONDS = 1_000;
const MEASURED_MILLISECONDS = 5_000;
const MILLISECONDS_PER_SECOND = 1_000;

/** Time from a host to the log service, and back. */
const LOG_LATENCY_MILLISECONDS = 1;

/** Time that one request may wait for its intent. */
const CALL_MILLISECONDS = 4_000;

/** Lifetime of a request. */
const REQUEST_MILLISECONDS = 60_000;

const SEED = 20_261_204;

/** Latencies are recorded in thousandths of a millisecond. */
const UNITS_PER_MILLISECOND = 1_000;

interface JournalBenchResult {
  requestsPerSecond: number;
  /** Intents that were recorded, and those that failed. */
  recorded: number;
  failed: number;
  appendsPerSecond: number;
  itemsPerAppend: number;
  /** Time from a request's arrival until its intent has been read back. */
  waitMilliseconds: {p50: number; p99: number; highest: number};
  /** Bodies of records, without the envelope of the transport. */
  kilobytesPerSecond: {writtenByEach: number; readByEach: number};
  /** Processor time of all processes, divided by their number. */
  processorShareOfEach: number;
}

interface Run {
  rate: number;
  clock: Clock;
  service: LogService;
  journals: RequestJournal[];
  random: SeededRandomSource;
  waits: Histogram;
  counts: {recorded: number; failed: number};
}

/**
 * Measures the journal with nine processes that share one log, each request
 * with an intent and an outcome. All processes run on one thread, so at high
 * rates the waiting time includes the work of the other eight.
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
  const journals = Array.from({length: PROCESSES}, (_, index) =>
    createJournal(clock, service, index),
  );
  const stopping = journals.map(() => new AbortController());
  const running = journals.map((journal, index) =>
    journal.run(stopping[index]!.signal),
  );
  const run: Run = {
    rate,
    clock,
    service,
    journals,
    random: SeededRandomSource.create(SEED),
    waits: build({numberOfSignificantValueDigits: 3}),
    counts: {recorded: 0, failed: 0},
  };
  await submit(run, WARM_UP_MILLISECONDS);
  const result = await measureSteady(run);
  for (const controller of stopping) controller.abort();
  await Promise.all(running);
  return result;
}

function createJournal(
  clock: Clock,
  service: LogService,
  index: number,
): RequestJournal {
  return RequestJournal.create({
    log: MemoryPlatformLog.create({clock, service}),
    clock,
    random: SeededRandomSource.create(SEED + index),
    logger: SilentLogger.create(),
    metrics: MemoryMetrics.create(),
    writer: `host-${index}/1`,
  });
}

async function measureSteady(run: Run): Promise<JournalBenchResult> {
  const {service, waits, counts} = run;
  waits.reset();
  counts.recorded = 0;
  counts.failed = 0;
  const firstRecord = service.records('journal').length;
  const processor = process.cpuUsage();
  await submit(run, MEASURED_MILLISECONDS);
  const used = process.cpuUsage(processor);
  const seconds = MEASURED_MILLISECONDS / MILLISECONDS_PER_SECOND;
  const records = service.records('journal').slice(firstRecord);
  const bytes = records.reduce(
    (sum, record) => sum + JSON.stringify(record.body).length,
    0,
  );
  const written = bytes / seconds / MILLISECONDS_PER_SECOND;
  const items = 2 * counts.recorded;
  const processorSeconds = (used.user + used.system) / 1e6;
  return {
    requestsPerSecond: run.rate,
    ...counts,
    appendsPerSecond: records.length / seconds,
    itemsPerAppend: round(items / records.length),
    waitMilliseconds: {
      p50: round(waits.getValueAtPercentile(50) / UNITS_PER_MILLISECOND),
      p99: round(waits.getValueAtPercentile(99) / UNITS_PER_MILLISECOND),
      highest: round(waits.maxValue / UNITS_PER_MILLISECOND),
    },
    kilobytesPerSecond: {
      writtenByEach: round(written / PROCESSES),
      readByEach: round(written),
    },
    processorShareOfEach: round(processorSeconds / seconds / PROCESSES),
  };
}

/** Sends requests at their planned instants, whatever the earlier ones do. */
async function submit(run: Run, milliseconds: number): Promise<void> {
  const {clock, rate} = run;
  const begin = clock.monotonicNow();
  const total = Math.floor((rate * milliseconds) / MILLISECONDS_PER_SECOND);
  const requests: Array<Promise<void>> = [];
  for (let number = 0; number < total; number += 1) {
    const dueAt = begin + (number * MILLISECONDS_PER_SECOND) / rate;
    if (dueAt > clock.monotonicNow()) await clock.sleepUntil(dueAt);
    requests.push(request(run, dueAt, number % PROCESSES));
  }
  await Promise.all(requests);
  await clock.sleepUntil(begin + milliseconds);
}

async function request(
  run: Run,
  dueAt: number,
  processNumber: number,
): Promise<void> {
  const {clock, random, waits, counts} = run;
  const journal = run.journals[processNumber]!;
  const key = hexadecimal(random, 8);
  const intent = {
    key,
    bodyHash: hexadecimal(random, 4),
    coordinator: `host-${processNumber}`,
    incarnation: '1',
    deadline: clock.wallNow() + REQUEST_MILLISECONDS,
  };
  const recorded = await journal.recordIntent(
    intent,
    dueAt + CALL_MILLISECONDS,
  );
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
    {outcome: 'ran', key, results},
    clock.monotonicNow() + CALL_MILLISECONDS,
  );
}

/** Random text of four hexadecimal digits a word. */
function hexadecimal(random: SeededRandomSource, words: number): string {
  const parts = Array.from({length: words}, () =>
    random.integerBelow(65_536).toString(16).padStart(4, '0'),
  );
  return parts.join('');
}

function round(value: number): number {
  return Math.round(value * 1_000) / 1_000;
}
