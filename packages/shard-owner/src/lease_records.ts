/** Prefix of the keys that name the last owner to grant leases to a worker. */
const WORKER_PREFIX = 'l/';

/** Key of the epoch before which no leases are left. */
const ENDED_BEFORE_KEY = 'l';

interface LeaseRecordsOptions {
  /** Epoch of the present owner. */
  epoch: number;
  /** The shard's records at its claim. */
  records: ReadonlyMap<string, string>;
  /** Marks a key whose value changed, for the journal. */
  mark: (key: string) => void;
  /** Resolves to whether all marked changes have become durable. */
  commit: () => Promise<boolean>;
}

/**
 * Durable records of which owner last granted leases to each worker that runs
 * lasting tasks. Owners in series that never reached a worker then add nothing
 * to the time until its leases have ended.
 */
export class LeaseRecords {
  /** The last owners before the present one, by worker. */
  private readonly earlierEpochs = new Map<string, number>();
  /** Workers whose record names the present owner, durably or not yet. */
  private readonly current = new Set<string>();
  private readonly durable = new Set<string>();
  private endedBeforeEpoch: number | undefined;
  private isEndedBeforeMarked = true;

  private constructor(private readonly options: LeaseRecordsOptions) {
    for (const [key, value] of options.records) {
      const epoch = Number(value);
      if (value === '' || !Number.isInteger(epoch)) continue;
      if (key === ENDED_BEFORE_KEY) this.endedBeforeEpoch = epoch;
      if (!key.startsWith(WORKER_PREFIX)) continue;
      this.earlierEpochs.set(key.slice(WORKER_PREFIX.length), epoch);
    }
  }

  static create(options: LeaseRecordsOptions): LeaseRecords {
    return new LeaseRecords(options);
  }

  /** Whether a key of the journal belongs to these records. */
  static isKey(key: string): boolean {
    return key === ENDED_BEFORE_KEY || key.startsWith(WORKER_PREFIX);
  }

  /** The value of such a key; empty if its record is to be removed. */
  encode(key: string): string {
    if (key === ENDED_BEFORE_KEY) return String(this.endedBeforeEpoch ?? '');
    const workerId = key.slice(WORKER_PREFIX.length);
    return this.current.has(workerId) ? String(this.options.epoch) : '';
  }

  /** The last earlier owner that granted leases to a worker, if recorded. */
  lastGrantingEpoch(workerId: string): number | undefined {
    return this.earlierEpochs.get(workerId);
  }

  /**
   * Marks the present owner as the last one, for a worker that is about to get a
   * lasting task or has had one. It may grant leases once that is durable.
   */
  require(workerId: string): void {
    if (this.current.has(workerId)) return;
    this.current.add(workerId);
    this.options.mark(`${WORKER_PREFIX}${workerId}`);
    this.markEndedBefore();
    void this.options.commit().then(isDurable => {
      if (isDurable && this.current.has(workerId)) this.durable.add(workerId);
    });
  }

  /** Whether a record names the last owner of a worker's leases. */
  has(workerId: string): boolean {
    return this.earlierEpochs.has(workerId) || this.current.has(workerId);
  }

  /** Whether the present owner may grant leases without a change of a record. */
  allowsGrant(workerId: string): boolean {
    return !this.has(workerId) || this.durable.has(workerId);
  }

  /** Removes the record of a worker on which no runs are left. */
  remove(workerId: string): void {
    if (!this.has(workerId)) return;
    this.earlierEpochs.delete(workerId);
    this.current.delete(workerId);
    this.durable.delete(workerId);
    this.options.mark(`${WORKER_PREFIX}${workerId}`);
  }

  /** Whether all leases that were granted before an epoch have ended. */
  haveEndedBefore(epoch: number): boolean {
    return this.endedBeforeEpoch === epoch;
  }

  /**
   * Notes that all leases that were granted before an epoch have ended. It is
   * recorded once a worker has a record.
   */
  noteEndedBefore(epoch: number): void {
    if (this.haveEndedBefore(epoch)) return;
    this.endedBeforeEpoch = epoch;
    this.isEndedBeforeMarked = false;
    if (this.current.size > 0) this.markEndedBefore();
  }

  private markEndedBefore(): void {
    if (this.isEndedBeforeMarked) return;
    this.isEndedBeforeMarked = true;
    this.options.mark(ENDED_BEFORE_KEY);
  }
}
