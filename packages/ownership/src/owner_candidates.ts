import type {OwnershipContext} from './ownership_context.js';

/** Chooses which host should own a group next. */
export class OwnerCandidates {
  /** Whether this process offers itself as an owner. */
  acceptsGroups = true;

  private constructor(private readonly context: OwnershipContext) {}

  static create(context: OwnershipContext): OwnerCandidates {
    return new OwnerCandidates(context);
  }

  /** Whether this process may own groups now. */
  isSelfEligible(): boolean {
    const {view, process, stream} = this.context;
    return (
      this.acceptsGroups &&
      stream.isCaughtUp() &&
      view.voters().members.includes(process)
    );
  }

  /** Voters that may own groups, this process among them if it may. */
  eligibleHosts(): string[] {
    const {view, liveness, process} = this.context;
    return view
      .voters()
      .members.filter(voter =>
        voter === process ? this.isSelfEligible() : liveness.isEligible(voter),
      );
  }

  /** The hosts in the order in which they should own the group. */
  rankHosts(group: string, hosts = this.eligibleHosts()): string[] {
    return this.context.ranking.rank(group, hosts);
  }

  /** The second host of the ranking, seen from an owner. */
  deputyFor(owner: string, ranked: readonly string[]): string | null {
    return ranked.find(host => host !== owner) ?? null;
  }
}
