/** Outcome of an append whose record has been read. */
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

  /** Signal that aborts when the outcome is known. */
  get resolvedSignal(): AbortSignal {
    return this.controller.signal;
  }

  outcome(): Outcome | undefined {
    return this.result;
  }

  /** Whether the record may be among those that the follower skipped. */
  isPossiblySkipped(): boolean {
    return this.mayBeSkipped;
  }

  /** Records that the follower skipped records without reading them. */
  markPossiblySkipped(): void {
    this.mayBeSkipped = true;
  }

  /** Sets the outcome; a second record of the same append has no effect. */
  resolve(outcome: Outcome): void {
    this.result ??= outcome;
    // Without an explicit reason, each abort would create an exception with a
    // stack trace.
    this.controller.abort('the record was read');
  }
}
