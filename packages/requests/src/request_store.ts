import type {Clock} from '@cardamomfield/clock';
import type {RequestRecord} from './request_record.js';

/** Time for which a finished request is kept for repeated queries. */
const RETENTION_MILLISECONDS = 24 * 60 * 60 * 1_000;

/** Limit on finished requests kept; the oldest are dropped first. */
const MAXIMUM_FINISHED = 50_000;

interface RequestStoreOptions {
  clock: Clock;
  /** Called with each request that is dropped. */
  onDrop: (key: string) => void;
}

/** Requests that this process coordinates or has recently finished. */
export class RequestStore {
  private readonly records = new Map<string, RequestRecord>();
  /** Finished requests, in the order in which they finished. */
  private readonly finished = new Set<RequestRecord>();

  private constructor(private readonly options: RequestStoreOptions) {}

  static create(options: RequestStoreOptions): RequestStore {
    return new RequestStore(options);
  }

  find(key: string): RequestRecord | undefined {
    return this.records.get(key);
  }

  add(record: RequestRecord): void {
    this.records.set(record.key, record);
  }

  /** Removes a request that expired, did not start or was handed over. */
  remove(record: RequestRecord): void {
    if (this.records.get(record.key) !== record) return;
    this.records.delete(record.key);
    this.options.onDrop(record.key);
  }

  /** Keeps a finished request for the retention period. */
  finish(record: RequestRecord): void {
    record.expiresAt = this.options.clock.wallNow() + RETENTION_MILLISECONDS;
    this.finished.add(record);
    this.dropOldest();
  }

  /** Requests without an answer. */
  unfinished(): RequestRecord[] {
    return [...this.records.values()].filter(record => !record.answer);
  }

  /** Number of requests for which `finish` has not been called. */
  countUnfinished(): number {
    return this.records.size - this.finished.size;
  }

  private dropOldest(): void {
    const now = this.options.clock.wallNow();
    for (const record of this.finished) {
      const isFull = this.finished.size > MAXIMUM_FINISHED;
      if (!isFull && (record.expiresAt ?? 0) > now) return;
      this.finished.delete(record);
      this.remove(record);
    }
  }
}
