import {AuthorityQuery} from '@cardamomfield/peer-protocol';
import type {OwnershipContext} from './ownership_context.js';

/** Extends authority by tail reads of the log and by queries to the voters. */
export class AuthorityExtension {
  private readonly queriedVoters = new Set<string>();

  private constructor(private readonly context: OwnershipContext) {}

  static create(context: OwnershipContext): AuthorityExtension {
    return new AuthorityExtension(context);
  }

  /** Reads the tail of the log several times per authority period. */
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

  /**
   * Queries each other voter several times per authority period, in a separate
   * loop for each.
   */
  async runVoterQueries(signal: AbortSignal): Promise<void> {
    const {clock, view, process, settings, stream, tracker} = this.context;
    const tasks = new Set<Promise<void>>();
    while (!signal.aborted) {
      if (stream.isCaughtUp()) {
        tracker.recordSelf(clock.monotonicNow(), view.voters());
        for (const voter of this.votersToQuery()) {
          if (voter === process || this.queriedVoters.has(voter)) continue;
          const task = this.queryRepeatedly(voter, signal);
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

  private votersToQuery(): string[] {
    const voters = this.context.view.voters();
    return [...new Set([...voters.members, ...(voters.pending ?? [])])];
  }

  private async queryRepeatedly(
    voter: string,
    signal: AbortSignal,
  ): Promise<void> {
    const {clock, settings} = this.context;
    this.queriedVoters.add(voter);
    while (!signal.aborted && this.votersToQuery().includes(voter)) {
      const sentAt = clock.monotonicNow();
      await this.query(voter, sentAt);
      const next = sentAt + settings.extensionIntervalMilliseconds;
      await clock.sleepUntil(Math.max(next, clock.monotonicNow() + 1), signal);
    }
    this.queriedVoters.delete(voter);
  }

  private async query(voter: string, sentAt: number): Promise<void> {
    const {view, network, settings, stream, tracker} = this.context;
    const voters = view.voters();
    const answer = await network.call(
      voter,
      AuthorityQuery,
      {knownOffset: stream.nextOffset(), votersOffset: voters.offset},
      sentAt + settings.callTimeoutMilliseconds,
    );
    answer.ifRight(result => {
      view.merge(result.claims, result.voters);
      // An answer to a query sent under an older set of voters proves nothing
      // about the current majority.
      if (result.voters || view.voters().offset !== voters.offset) return;
      tracker.recordAnswer(voter, sentAt, voters);
    });
  }
}
