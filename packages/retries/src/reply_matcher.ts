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

/** Ended attempts that are remembered, to tell late replies from foreign. */
const DEFAULT_REMEMBERED_ATTEMPTS = 10_000;

interface AttemptIdentity {
  key: RequestKey;
  attempt: number;
  /** Identifies the connection for the life of the process. */
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
  rememberedAttempts?: number;
}

/**
 * Gives each reply to the attempt that it answers. A reply counts only when
 * key, attempt and connection are those of an open attempt.
 */
export class ReplyMatcher<Reply> {
  private readonly open = new Map<string, OpenAttempt<Reply>>();
  private readonly ended = new Map<string, EndedAttempt>();
  private readonly verdicts: Record<ReplyVerdict, number> = {
    matched: 0,
    late: 0,
    duplicate: 0,
    crossed: 0,
    foreign: 0,
  };

  private constructor(
    private readonly clock: Clock,
    private readonly rememberedAttempts: number,
  ) {}

  static create<Reply>(options: ReplyMatcherOptions): ReplyMatcher<Reply> {
    return new ReplyMatcher(
      options.clock,
      options.rememberedAttempts ?? DEFAULT_REMEMBERED_ATTEMPTS,
    );
  }

  /**
   * Waits for the reply to an attempt, which must be opened before it is
   * sent. After the monotonic deadline the outcome is uncertain.
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

  /** Takes in a reply and says what it was. */
  accept(identity: AttemptIdentity, reply: Reply): ReplyVerdict {
    const name = nameOf(identity);
    const verdict = this.judge(name, identity.connection);
    this.verdicts[verdict]++;
    if (verdict === 'matched') this.end(name, Right(reply));
    return verdict;
  }

  /** Gives up an attempt, usually because its caller cancelled it. */
  abandon(identity: AttemptIdentity): void {
    const message = `attempt ${nameOf(identity)} was given up`;
    this.end(nameOf(identity), Left(CancelledError.create(message)));
  }

  /** Ends all attempts of a connection that has closed. */
  closeConnection(connection: string): void {
    for (const [name, attempt] of [...this.open]) {
      if (attempt.identity.connection !== connection) continue;
      this.end(name, Left(uncertain(name, 'connection-closed')));
    }
  }

  /** How many replies got each verdict. */
  counts(): Readonly<Record<ReplyVerdict, number>> {
    return {...this.verdicts};
  }

  private judge(name: string, connection: string): ReplyVerdict {
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
    if (!signal.aborted) this.end(name, Left(uncertain(name, 'deadline')));
  }

  private end(name: string, outcome: Either<TypedError, Reply>): void {
    const attempt = this.open.get(name);
    if (!attempt) return;
    this.open.delete(name);
    const {connection} = attempt.identity;
    this.ended.set(name, {connection, wasAnswered: outcome.isRight()});
    if (this.ended.size > this.rememberedAttempts) this.forgetOldest();
    attempt.timer.abort();
    attempt.settle(outcome);
  }

  private forgetOldest(): void {
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
