import type {OwnershipContext} from './ownership_context.js';

/** Chooses which host should own a group next. */
export class GroupCandidates {
  /** Whether this process offers itself as an owner. */
  isOffered = true;

  private constructor(private readonly context: OwnershipContext) {}

  static create(context: OwnershipContext): GroupCandidates {
    return new GroupCandidates(context);
  }

  /** Whether this process may own groups now. */
  isSelfEligible(): boolean {
    const {knowledge, process, stream} = this.context;
    return (
      this.isOffered &&
      stream.isCaughtUp() &&
      knowledge.voters().members.includes(process)
    );
  }

  /** Voters that may own groups, this process among them if it may. */
  eligibleHosts(): string[] {
    const {knowledge, liveness, process} = this.context;
    return knowledge
      .voters()
      .members.filter(voter =>
        voter === process ? this.isSelfEligible() : liveness.isEligible(voter),
      );
  }

  /** The hosts in the order in which they should own the group. */
  ranked(group: string, hosts = this.eligibleHosts()): string[] {
    return this.context.ranking.rank(group, hosts);
  }

  /** The second host of the ranking, seen from an owner. */
  deputyFor(owner: string, ranked: readonly string[]): string | null {
    return ranked.find(host => host !== owner) ?? null;
  }
}
