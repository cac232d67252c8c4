import type {Clock} from '@cardamomfield/clock';
import {
  CancelledError,
  ConflictError,
  type TypedError,
  UncertainError,
} from '@cardamomfield/errors';
import type {RequestKey} from '@cardamomfield/types';
import {type Either, Left, Right} from 'purify-ts';
import type {ReplyVerdict} from './reply_verdict.js';

/** Ended attempts retained to distinguish late replies from foreign ones. */
const DEFAULT_RETAINED_ATTEMPTS = 10_000;

interface AttemptIdentity {
  key: RequestKey;
  attempt: number;
  /** Identifies the connection for the lifetime of the process. */
  connection: string;
}

interface OpenAttempt<Reply> {
  identity: AttemptIdentity;
  settle: (outcome: Either<TypedError, Reply>) => void;
  timer: AbortController;
}

interface EndedAttempt {
  connection: string;
  wasAnswered: boolean;
}

interface ReplyMatcherOptions {
  clock: Clock;
  retainedAttempts?: number;
}

/**
 * Delivers each reply to the attempt that it answers. A reply is accepted only
 * if its key, attempt and connection match an open attempt.
 */
export class ReplyMatcher<Reply> {
  private readonly open = new Map<string, OpenAttempt<Reply>>();
  private readonly ended = new Map<string, EndedAttempt>();
  private readonly verdictTotals: Record<ReplyVerdict, number> = {
    matched: 0,
    late: 0,
    duplicate: 0,
    crossed: 0,
    foreign: 0,
  };

  private constructor(
    private readonly clock: Clock,
    private readonly retainedAttempts: number,
  ) {}

  static create<Reply>(options: ReplyMatcherOptions): ReplyMatcher<Reply> {
    return new ReplyMatcher(
      options.clock,
      options.retainedAttempts ?? DEFAULT_RETAINED_ATTEMPTS,
    );
  }

  /**
   * Registers an attempt and waits for its reply. Must be called before the
   * request is sent. After the monotonic deadline the outcome is uncertain.
   */
  expect(
    identity: AttemptIdentity,
    deadline: number,
  ): Promise<Either<TypedError, Reply>> {
    const name = nameOf(identity);
    if (this.open.has(name) || this.ended.has(name)) {
      const message = `attempt ${name} has been made before`;
      return Promise.resolve(Left(ConflictError.create(message, {name})));
    }
    const timer = new AbortController();
    const outcome = new Promise<Either<TypedError, Reply>>(resolve =>
      this.open.set(name, {identity, settle: resolve, timer}),
    );
    void this.expire(name, deadline, timer.signal);
    return outcome;
  }

  /** Processes a reply and returns its classification. */
  accept(identity: AttemptIdentity, reply: Reply): ReplyVerdict {
    const name = nameOf(identity);
    const verdict = this.classify(name, identity.connection);
    this.verdictTotals[verdict]++;
    if (verdict === 'matched') this.finish(name, Right(reply));
    return verdict;
  }

  /** Abandons an attempt, usually because its caller cancelled it. */
  abandon(identity: AttemptIdentity): void {
    const message = `attempt ${nameOf(identity)} was given up`;
    this.finish(nameOf(identity), Left(CancelledError.create(message)));
  }

  /** Ends all attempts of a connection that has closed. */
  closeConnection(connection: string): void {
    for (const [name, attempt] of [...this.open]) {
      if (attempt.identity.connection !== connection) continue;
      this.finish(name, Left(uncertain(name, 'connection-closed')));
    }
  }

  /** Number of replies by verdict. */
  verdictCounts(): Readonly<Record<ReplyVerdict, number>> {
    return {...this.verdictTotals};
  }

  private classify(name: string, connection: string): ReplyVerdict {
    const open = this.open.get(name);
    if (open) {
      return open.identity.connection === connection ? 'matched' : 'crossed';
    }
    const ended = this.ended.get(name);
    if (!ended) return 'foreign';
    if (ended.connection !== connection) return 'crossed';
    return ended.wasAnswered ? 'duplicate' : 'late';
  }

  private async expire(
    name: string,
    deadline: number,
    signal: AbortSignal,
  ): Promise<void> {
    await this.clock.sleepUntil(deadline, signal);
    if (!signal.aborted) this.finish(name, Left(uncertain(name, 'deadline')));
  }

  private finish(name: string, outcome: Either<TypedError, Reply>): void {
    const attempt = this.open.get(name);
    if (!attempt) return;
    this.open.delete(name);
    const {connection} = attempt.identity;
    this.ended.set(name, {connection, wasAnswered: outcome.isRight()});
    if (this.ended.size > this.retainedAttempts) this.evictOldest();
    attempt.timer.abort();
    attempt.settle(outcome);
  }

  private evictOldest(): void {
    for (const name of this.ended.keys()) {
      this.ended.delete(name);
      return;
    }
  }
}

/** Unambiguous, because a request key cannot contain "~". */
function nameOf({key, attempt}: AttemptIdentity): string {
  return `${key}~${attempt}`;
}

function uncertain(name: string, reason: string): UncertainError {
  return UncertainError.create(`reply to attempt ${name} was lost`, {
    attempt: name,
    reason,
  });
}
