import type {OwnershipContext} from './ownership_context.js';

/** Chooses which host should own a group next. */
export class OwnerCandidates {
  /** Whether this process is willing to own groups; false during shutdown. */
  acceptsGroups = true;

  private constructor(private readonly context: OwnershipContext) {}

  static create(context: OwnershipContext): OwnerCandidates {
    return new OwnerCandidates(context);
  }

  /** Whether this process may currently own groups. */
  isSelfEligible(): boolean {
    const {view, process, stream} = this.context;
    return (
      this.acceptsGroups &&
      stream.isCaughtUp() &&
      view.voters().members.includes(process)
    );
  }

  /** Voters that may own groups; includes this process if it is eligible. */
  eligibleHosts(): string[] {
    const {view, liveness, process} = this.context;
    return view
      .voters()
      .members.filter(voter =>
        voter === process ? this.isSelfEligible() : liveness.isEligible(voter),
      );
  }

  /** The hosts in order of preference as owner of the group. */
  rankHosts(group: string, hosts = this.eligibleHosts()): string[] {
    return this.context.ranking.rank(group, hosts);
  }

  /** The host with the best rank apart from the owner. */
  deputyFor(owner: string, ranked: readonly string[]): string | null {
    return ranked.find(host => host !== owner) ?? null;
  }
}
