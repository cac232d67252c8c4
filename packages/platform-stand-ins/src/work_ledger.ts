import type {TaskPhase, TaskStart} from '@cardamomfield/platform';
import {RESOURCE_NAMES, type ResourceVector} from '@cardamomfield/types';
import type {StartRecord} from './start_record.js';

type Overlap = [earlier: StartRecord, later: StartRecord];

const ZERO_RESOURCES: ResourceVector = {
  processorMillicores: 0,
  memoryBytes: 0,
  accelerators: 0,
  slots: 0,
  connections: 0,
};

/**
 * Record of every task start. Workers write it and test oracles read it. A
 * ledger that several workers share also detects overlaps between them.
 */
export class WorkLedger {
  private readonly starts: StartRecord[] = [];
  private readonly runningByTask = new Map<string, Set<StartRecord>>();
  private readonly overlapping: Overlap[] = [];
  private readonly reservedByWorker = new Map<string, ResourceVector>();
  private readonly peakByWorker = new Map<string, ResourceVector>();
  private readonly startCounts = new Map<string, number>();

  private constructor() {}

  static create(): WorkLedger {
    return new WorkLedger();
  }

  /** Records the start of a task. */
  recordStart(
    worker: string,
    start: TaskStart,
    startedAt: number,
  ): StartRecord {
    const record: StartRecord = {
      worker,
      number: this.starts.length,
      task: start.task,
      epoch: start.epoch,
      demand: start.demand,
      startedAt,
      phase: 'running',
    };
    this.starts.push(record);
    this.recordOverlaps(record);
    this.addReservation(record);
    const key = start.task.key;
    this.startCounts.set(key, this.startsOf(key) + 1);
    return record;
  }

  /** Records the end of a task. */
  recordEnd(record: StartRecord, phase: TaskPhase, endedAt: number): void {
    record.phase = phase;
    record.endedAt = endedAt;
    this.runningByTask.get(taskKey(record))?.delete(record);
    const before = this.reservedByWorker.get(record.worker) ?? ZERO_RESOURCES;
    this.reservedByWorker.set(
      record.worker,
      addSigned(before, record.demand, -1),
    );
  }

  /** All starts in the order in which they took effect. */
  all(): readonly StartRecord[] {
    return this.starts;
  }

  /** Pairs of starts of the same key and index that ran simultaneously. */
  overlaps(): readonly Overlap[] {
    return this.overlapping;
  }

  /** Number of starts of a key, over all indexes and attempts. */
  startsOf(key: string): number {
    return this.startCounts.get(key) ?? 0;
  }

  /** Highest sum of reservations on a worker, per resource. */
  peakReserved(worker: string): ResourceVector {
    return this.peakByWorker.get(worker) ?? ZERO_RESOURCES;
  }

  private recordOverlaps(record: StartRecord): void {
    const running = this.runningByTask.get(taskKey(record)) ?? new Set();
    for (const other of running) this.overlapping.push([other, record]);
    running.add(record);
    this.runningByTask.set(taskKey(record), running);
  }

  private addReservation(record: StartRecord): void {
    const {worker, demand} = record;
    const before = this.reservedByWorker.get(worker) ?? ZERO_RESOURCES;
    const now = addSigned(before, demand, 1);
    this.reservedByWorker.set(worker, now);
    const peak = {...this.peakReserved(worker)};
    for (const name of RESOURCE_NAMES) {
      peak[name] = Math.max(peak[name], now[name]);
    }
    this.peakByWorker.set(worker, peak);
  }
}

function taskKey(record: StartRecord): string {
  return `${record.task.key}~${record.task.index}`;
}

function addSigned(
  first: ResourceVector,
  second: ResourceVector,
  sign: 1 | -1,
): ResourceVector {
  const sum = {...first};
  for (const name of RESOURCE_NAMES) sum[name] += sign * second[name];
  return sum;
}
