import {AuthorityAsk} from '@cardamomfield/peer-protocol';
import type {OwnershipContext} from './ownership_context.js';

/** Extends authority by tail reads and by questions to the other voters. */
export class AuthorityExtension {
  private readonly asking = new Set<string>();

  private constructor(private readonly context: OwnershipContext) {}

  static create(context: OwnershipContext): AuthorityExtension {
    return new AuthorityExtension(context);
  }

  /** Reads the tail at a fraction of T. */
  async runTailReads(signal: AbortSignal): Promise<void> {
    const {clock, settings, stream, tracker} = this.context;
    while (!signal.aborted) {
      const startedAt = clock.monotonicNow();
      const deadline = startedAt + settings.authorityPeriodMilliseconds;
      const read = await stream.readFresh(deadline);
      read.ifRight(({sentAt}) => tracker.recordTailRead(sentAt));
      const next = startedAt + settings.extensionIntervalMilliseconds;
      await clock.sleepUntil(Math.max(next, clock.monotonicNow() + 1), signal);
    }
  }

  /** Keeps one task for each other voter that asks at a fraction of T. */
  async runQuestions(signal: AbortSignal): Promise<void> {
    const {clock, knowledge, process, settings, stream, tracker} = this.context;
    const tasks = new Set<Promise<void>>();
    while (!signal.aborted) {
      if (stream.isCaughtUp()) {
        tracker.recordSelf(clock.monotonicNow(), knowledge.voters());
        for (const voter of this.votersToAsk()) {
          if (voter === process || this.asking.has(voter)) continue;
          const task = this.askRepeatedly(voter, signal);
          tasks.add(task);
          void task.finally(() => tasks.delete(task));
        }
      }
      await clock.sleepUntil(
        clock.monotonicNow() + settings.extensionIntervalMilliseconds,
        signal,
      );
    }
    await Promise.all(tasks);
  }

  private votersToAsk(): string[] {
    const voters = this.context.knowledge.voters();
    return [...new Set([...voters.members, ...(voters.pending ?? [])])];
  }

  private async askRepeatedly(
    voter: string,
    signal: AbortSignal,
  ): Promise<void> {
    const {clock, settings} = this.context;
    this.asking.add(voter);
    while (!signal.aborted && this.votersToAsk().includes(voter)) {
      const sentAt = clock.monotonicNow();
      await this.ask(voter, sentAt);
      const next = sentAt + settings.extensionIntervalMilliseconds;
      await clock.sleepUntil(Math.max(next, clock.monotonicNow() + 1), signal);
    }
    this.asking.delete(voter);
  }

  private async ask(voter: string, sentAt: number): Promise<void> {
    const {knowledge, network, settings, stream, tracker} = this.context;
    const voters = knowledge.voters();
    const answer = await network.call(
      voter,
      AuthorityAsk,
      {knownOffset: stream.nextOffset(), votersOffset: voters.offset},
      sentAt + settings.callTimeoutMilliseconds,
    );
    answer.ifRight(result => {
      knowledge.learn(result.claims, result.voters);
      // An answer under voters that are no longer the latest known proves
      // nothing about the present majority.
      if (result.voters || knowledge.voters().offset !== voters.offset) return;
      tracker.recordAnswer(voter, sentAt, voters);
    });
  }
}
