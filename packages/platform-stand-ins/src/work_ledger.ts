import type {TaskPhase, TaskStart} from '@cardamomfield/platform';
import {RESOURCE_NAMES, type ResourceVector} from '@cardamomfield/types';
import type {StartRecord} from './start_record.js';

type Overlap = [earlier: StartRecord, later: StartRecord];

const NOTHING: ResourceVector = {
  processorMillicores: 0,
  memoryBytes: 0,
  accelerators: 0,
  slots: 0,
  connections: 0,
};

/**
 * The truth about every start, kept by the workers themselves and read by
 * oracles. Workers that share one ledger also detect overlaps between them.
 */
export class WorkLedger {
  private readonly starts: StartRecord[] = [];
  private readonly live = new Map<string, Set<StartRecord>>();
  private readonly overlapping: Overlap[] = [];
  private readonly reserved = new Map<string, ResourceVector>();
  private readonly peaks = new Map<string, ResourceVector>();
  private readonly counts = new Map<string, number>();

  private constructor() {}

  static create(): WorkLedger {
    return new WorkLedger();
  }

  /** Notes that a task runs now. */
  began(worker: string, start: TaskStart, startedAt: number): StartRecord {
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
    this.noteOverlaps(record);
    this.noteReserved(record);
    const key = start.task.key;
    this.counts.set(key, this.startsOf(key) + 1);
    return record;
  }

  /** Notes that a task runs no longer. */
  ended(record: StartRecord, phase: TaskPhase, endedAt: number): void {
    record.phase = phase;
    record.endedAt = endedAt;
    this.live.get(place(record))?.delete(record);
    const before = this.reserved.get(record.worker) ?? NOTHING;
    this.reserved.set(record.worker, combine(before, record.demand, -1));
  }

  /** Every start, in order. */
  all(): readonly StartRecord[] {
    return this.starts;
  }

  /** Pairs of starts of one key and index that ran at the same time. */
  overlaps(): readonly Overlap[] {
    return this.overlapping;
  }

  /** How many starts a key had, over all indexes and attempts. */
  startsOf(key: string): number {
    return this.counts.get(key) ?? 0;
  }

  /** Most that was reserved at one instant on a worker, by resource. */
  peakReserved(worker: string): ResourceVector {
    return this.peaks.get(worker) ?? NOTHING;
  }

  private noteOverlaps(record: StartRecord): void {
    const running = this.live.get(place(record)) ?? new Set();
    for (const other of running) this.overlapping.push([other, record]);
    running.add(record);
    this.live.set(place(record), running);
  }

  private noteReserved(record: StartRecord): void {
    const {worker, demand} = record;
    const before = this.reserved.get(worker) ?? NOTHING;
    const now = combine(before, demand, 1);
    this.reserved.set(worker, now);
    const peak = {...this.peakReserved(worker)};
    for (const name of RESOURCE_NAMES) {
      peak[name] = Math.max(peak[name], now[name]);
    }
    this.peaks.set(worker, peak);
  }
}

function place(record: StartRecord): string {
  return `${record.task.key}~${record.task.index}`;
}

function combine(
  first: ResourceVector,
  second: ResourceVector,
  sign: 1 | -1,
): ResourceVector {
  const sum = {...first};
  for (const name of RESOURCE_NAMES) sum[name] += sign * second[name];
  return sum;
}
