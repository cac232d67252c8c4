import type {CallRelease} from './call_release.js';

/**
 * Number of calls that may be in flight to one server. Each of them may need a
 * connection of its own.
 */
export class CallWindow {
  private inFlight = 0;
  private size: number;

  private constructor(
    private readonly smallest: number,
    private readonly largest: number,
  ) {
    this.size = smallest;
  }

  /** A window that begins with one call and grows by one with each answer. */
  static growing(largest: number): CallWindow {
    return new CallWindow(1, largest);
  }

  static unbounded(): CallWindow {
    return new CallWindow(Infinity, Infinity);
  }

  get hasRoom(): boolean {
    return this.inFlight < this.size;
  }

  get isEmpty(): boolean {
    return this.inFlight === 0;
  }

  begin(): void {
    this.inFlight++;
  }

  end(release: CallRelease): void {
    this.inFlight--;
    if (release === 'answered') {
      this.size = Math.min(this.largest, this.size + 1);
    } else if (release === 'failed') {
      this.shrink();
    }
  }

  /** Begins anew, for connections that are gone. */
  shrink(): void {
    this.size = this.smallest;
  }
}
