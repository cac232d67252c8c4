import type {CallerIdentity} from '@cardamomfield/cell-model';
import type {Clock} from '@cardamomfield/clock';
import {type TypedError, UnauthenticatedError} from '@cardamomfield/errors';
import type {Either} from 'purify-ts';

/** A count is cached for this long; callers accept an age of up to 2 s. */
const CACHE_MILLISECONDS = 800;

type Count = Either<TypedError, {count: number; desiredStateVersion?: number}>;

interface CachedCount {
  /** Monotonic deadline after which the owner is queried again. */
  validUntil: number;
  answer: Promise<Count>;
  /** Digest of the key of the caller for whom the owner was queried. */
  keyDigest: string;
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

  /**
   * The count of a queue; a failed answer is not cached. Callers with different
   * keys share an answer unless the owner may judge their keys differently.
   */
  async get(
    queueName: string,
    caller: CallerIdentity | undefined,
    queryOwner: () => Promise<Count>,
  ): Promise<Count> {
    const now = this.clock.monotonicNow();
    const keyDigest = caller?.keyDigest ?? '';
    const known = this.counts.get(queueName);
    if (known && now < known.validUntil) {
      const answer = await known.answer;
      if (known.keyDigest === keyDigest || isForAnyKey(answer, caller)) {
        return answer;
      }
      return queryOwner();
    }
    const shared: CachedCount = {
      validUntil: now + CACHE_MILLISECONDS,
      answer: queryOwner(),
      keyDigest,
    };
    this.counts.set(queueName, shared);
    const answer = await shared.answer;
    if (answer.isLeft() && this.counts.get(queueName) === shared) {
      this.counts.delete(queueName);
    }
    return answer;
  }
}

/** Whether an answer to another caller holds for this one as well. */
function isForAnyKey(
  answer: Count,
  caller: CallerIdentity | undefined,
): boolean {
  return answer.caseOf({
    Left: error => !(error instanceof UnauthenticatedError),
    // An owner with a newer desired state may not know this caller's key.
    Right: ({desiredStateVersion = -1}) =>
      !caller || desiredStateVersion <= caller.version,
  });
}
