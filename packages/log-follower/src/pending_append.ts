/** What became of an append, once its record has been read. */
type Outcome = {offset: number; isExpired: boolean};

/** An append of this process whose record has not been read yet. */
export class PendingAppend {
  private readonly controller = new AbortController();
  private result: Outcome | undefined;
  private mayBeSkipped = false;

  private constructor(readonly id: string) {}

  static create(id: string): PendingAppend {
    return new PendingAppend(id);
  }

  /** Aborts when the outcome is known. */
  get known(): AbortSignal {
    return this.controller.signal;
  }

  outcome(): Outcome | undefined {
    return this.result;
  }

  /** Whether the record may be among those that the follower did not read. */
  isPossiblySkipped(): boolean {
    return this.mayBeSkipped;
  }

  /** Notes that the follower moved past records that it did not read. */
  noteSkip(): void {
    this.mayBeSkipped = true;
  }

  /** Notes the record; a second one of the same append changes nothing. */
  resolve(outcome: Outcome): void {
    this.result ??= outcome;
    // Without a reason, each abort would build a stack trace.
    this.controller.abort('the record was read');
  }
}
