import type {Clock} from '@cardamomfield/clock';
import {DeadlineExceededError, UncertainError} from '@cardamomfield/errors';
import type {FollowedStream, StreamFold} from '@cardamomfield/log-follower';
import type {PlatformLog} from '@cardamomfield/platform';
import {Left, Right} from 'purify-ts';

interface SimulatedStreamOptions<State> {
  clock: Clock;
  fold: StreamFold<State>;
  log: PlatformLog;
}

const STREAM = 'ownership';
const POLL_INTERVAL_MILLISECONDS = 100;
const READ_TIMEOUT_MILLISECONDS = 5_000;
const MAXIMUM_RECORDS = 50;

/** A small followed stream over a log client. */
export class SimulatedStream<State> implements FollowedStream<State> {
  private current: State;
  private next = 0;
  private hasReachedTail = false;
  private readonly listeners = new Set<(state: State) => void>();

  private constructor(private readonly options: SimulatedStreamOptions<State>) {
    this.current = options.fold.initial();
  }

  static create<State>(
    options: SimulatedStreamOptions<State>,
  ): SimulatedStream<State> {
    return new SimulatedStream(options);
  }

  async run(): Promise<void> {
    const {clock} = this.options;
    for (;;) {
      await this.readPage(clock.monotonicNow() + READ_TIMEOUT_MILLISECONDS);
      await clock.sleepUntil(clock.monotonicNow() + POLL_INTERVAL_MILLISECONDS);
    }
  }

  state(): State {
    return this.current;
  }

  nextOffset(): number {
    return this.next;
  }

  isCaughtUp(): boolean {
    return this.hasReachedTail;
  }

  async readFresh(
    deadline: number,
  ): ReturnType<FollowedStream<State>['readFresh']> {
    const sentAt = this.options.clock.monotonicNow();
    const first = await this.readPage(deadline);
    if (first.isLeft()) return Left(DeadlineExceededError.create('no answer'));
    const tail = first.orDefault(0);
    while (this.next < tail) {
      const page = await this.readPage(deadline);
      if (page.isLeft()) return Left(DeadlineExceededError.create('no answer'));
    }
    return Right({sentAt, nextOffset: this.next});
  }

  async append(
    body: unknown,
    deadline: number,
  ): ReturnType<FollowedStream<State>['append']> {
    const {clock, log} = this.options;
    const start = this.next;
    const sending = Math.min(deadline, clock.monotonicNow() + 1_000);
    const appended = await log.append({
      stream: STREAM,
      body,
      deadline: sending,
    });
    while (clock.monotonicNow() < deadline) {
      const page = await this.readPage(deadline);
      const found = appended.isRight()
        ? appended.orDefault(0)
        : await this.findOwn(start, body, deadline);
      if (found !== undefined && found < this.next) return Right(found);
      if (appended.isLeft() && page.isRight()) break;
      await clock.sleepUntil(clock.monotonicNow() + 10);
    }
    return Left(UncertainError.create('outcome of the append is unknown'));
  }

  onChange(listener: (state: State) => void): () => void {
    this.listeners.add(listener);
    return () => this.listeners.delete(listener);
  }

  private async findOwn(
    start: number,
    body: unknown,
    deadline: number,
  ): Promise<number | undefined> {
    const page = await this.options.log.read({
      stream: STREAM,
      from: start,
      maximumRecords: MAXIMUM_RECORDS,
      deadline,
    });
    const text = JSON.stringify(body);
    return page
      .map(({records}) => records.find(r => JSON.stringify(r.body) === text))
      .orDefault(undefined)?.offset;
  }

  /** Reads one page and applies it; returns the tail. */
  private async readPage(deadline: number) {
    const {fold, log} = this.options;
    const page = await log.read({
      stream: STREAM,
      from: this.next,
      maximumRecords: MAXIMUM_RECORDS,
      deadline,
    });
    return page.map(({records, tail}) => {
      const before = this.next;
      for (const record of records) {
        if (record.offset !== this.next) continue;
        this.current = fold.apply(this.current, record);
        this.next += 1;
      }
      const isFirstTail = !this.hasReachedTail && this.next >= tail;
      if (isFirstTail) this.hasReachedTail = true;
      if (this.next > before || isFirstTail) {
        for (const listener of this.listeners) listener(this.current);
      }
      return tail;
    });
  }
}
