import type {Clock} from '@cardamomfield/clock';
import type {TypedError} from '@cardamomfield/errors';
import type {Either} from 'purify-ts';

/** A count is cached for this long; callers accept an age of up to 2 s. */
const CACHE_MILLISECONDS = 800;

type Count = Either<TypedError, {count: number}>;

interface CachedCount {
  /** Monotonic deadline after which the owner is queried again. */
  validUntil: number;
  answer: Promise<Count>;
}

/**
 * Counts of waiting submissions by queue, queried from the owner at most about
 * once a second by each host.
 *
 * Load: callers often request the same few numbers from every host. Without the
 * cache the owner's load grows with the number of hosts and callers.
 */
export class PendingCountCache {
  private readonly counts = new Map<string, CachedCount>();

  private constructor(private readonly clock: Clock) {}

  static create(clock: Clock): PendingCountCache {
    return new PendingCountCache(clock);
  }

  /** The count of a queue; a failed answer is not cached. */
  async get(
    queueName: string,
    queryOwner: () => Promise<Count>,
  ): Promise<Count> {
    const now = this.clock.monotonicNow();
    const known = this.counts.get(queueName);
    if (known && now < known.validUntil) return known.answer;
    const shared: CachedCount = {
      validUntil: now + CACHE_MILLISECONDS,
      answer: queryOwner(),
    };
    this.counts.set(queueName, shared);
    const answer = await shared.answer;
    if (answer.isLeft() && this.counts.get(queueName) === shared) {
      this.counts.delete(queueName);
    }
    return answer;
  }
}
