import type {Clock} from '@cardamomfield/clock';
import type {TypedError} from '@cardamomfield/errors';
import type {Either} from 'purify-ts';

/** A count is told again for this long; callers allow an age of 2 s. */
const SHARED_MILLISECONDS = 800;

type Count = Either<TypedError, {count: number}>;

interface SharedCount {
  /** Monotonic deadline after which the owner is asked again. */
  validUntil: number;
  answer: Promise<Count>;
}

/**
 * Counts of waiting submissions by queue, asked of the owner at most about once
 * a second by each host.
 *
 * Pattern of load: every host is asked often for the same few numbers. Without
 * this the owner's load from them grows with the hosts and their callers.
 */
export class PendingCounts {
  private readonly counts = new Map<string, SharedCount>();

  private constructor(private readonly clock: Clock) {}

  static create(clock: Clock): PendingCounts {
    return new PendingCounts(clock);
  }

  /** The count of a queue; a failed answer is not shared with later callers. */
  async get(queueName: string, ask: () => Promise<Count>): Promise<Count> {
    const now = this.clock.monotonicNow();
    const known = this.counts.get(queueName);
    if (known && now < known.validUntil) return known.answer;
    const shared: SharedCount = {
      validUntil: now + SHARED_MILLISECONDS,
      answer: ask(),
    };
    this.counts.set(queueName, shared);
    const answer = await shared.answer;
    if (answer.isLeft() && this.counts.get(queueName) === shared) {
      this.counts.delete(queueName);
    }
    return answer;
  }
}
