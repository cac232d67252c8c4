import type {Clock} from '@cardamomfield/clock';
import type {FollowedStream} from '@cardamomfield/log-follower';
import type {AuthorityTracker} from './authority_tracker.js';
import type {GroupAuthority} from './group_authority.js';
import type {OwnClaim} from './own_claim.js';
import type {OwnershipView} from './ownership_view.js';
import type {OwnershipListener} from './ownership_listener.js';
import type {OwnershipState} from './ownership_state.js';

interface OwnClaimsOptions {
  process: string;
  incarnation: string;
  clock: Clock;
  stream: FollowedStream<OwnershipState>;
  view: OwnershipView;
  tracker: AuthorityTracker;
}

/** The claims of this incarnation and the authority that follows from them. */
export class OwnClaims {
  private readonly claims = new Map<string, OwnClaim>();
  private readonly listeners = new Set<OwnershipListener>();

  private constructor(private readonly options: OwnClaimsOptions) {}

  static create(options: OwnClaimsOptions): OwnClaims {
    return new OwnClaims(options);
  }

  addListener(listener: OwnershipListener): () => void {
    this.listeners.add(listener);
    return () => this.listeners.delete(listener);
  }

  all(): OwnClaim[] {
    return [...this.claims.values()];
  }

  find(group: string): OwnClaim | undefined {
    return this.claims.get(group);
  }

  /** Removes replaced and released claims; adds new ones from the log. */
  refresh(): void {
    for (const claim of this.all()) {
      if (!this.isLatest(claim)) this.remove(claim);
    }
    for (const claim of this.options.stream.state().claims.values()) {
      const isOwn =
        claim.process === this.options.process &&
        claim.incarnation === this.options.incarnation;
      if (!isOwn || claim.released || this.claims.has(claim.group)) continue;
      const latest = this.options.view.latestClaim(claim.group);
      if (latest?.epoch !== claim.epoch) continue;
      this.claims.set(claim.group, {
        group: claim.group,
        epoch: claim.epoch,
        deputy: claim.deputy,
        isImmediate: claim.isImmediate,
        effectiveAt: undefined,
        isReported: false,
        isStopped: false,
        isTransferring: false,
      });
    }
  }

  /** Reports claims that have taken effect to the listeners. */
  reportGained(): void {
    const now = this.options.clock.monotonicNow();
    for (const claim of this.all()) {
      if (claim.isReported || !isInEffect(claim, now)) continue;
      claim.isReported = true;
      for (const listener of this.listeners) {
        listener.gained(claim.group, claim.epoch);
      }
    }
  }

  /** The earliest instant of effect among claims not yet reported. */
  nextEffectiveAt(): number {
    const instants = this.all()
      .filter(claim => !claim.isReported && !claim.isStopped)
      .map(claim => claim.effectiveAt ?? Infinity);
    return Math.min(Infinity, ...instants);
  }

  /** Ends authority permanently; the release record is appended later. */
  stop(claim: OwnClaim): void {
    if (claim.isStopped) return;
    claim.isStopped = true;
    this.reportLost(claim);
  }

  /** Whether the claim has taken effect and was not stopped. */
  isInEffect(claim: OwnClaim): boolean {
    return isInEffect(claim, this.options.clock.monotonicNow());
  }

  authority(group: string): GroupAuthority | undefined {
    const claim = this.claims.get(group);
    if (!claim || !this.isInEffect(claim)) return undefined;
    return {
      epoch: claim.epoch,
      isHeld: () => this.options.clock.monotonicNow() < this.heldUntil(claim),
      heldUntil: () => this.heldUntil(claim),
    };
  }

  private heldUntil(claim: OwnClaim): number {
    const isCurrent =
      this.claims.get(claim.group) === claim &&
      this.isLatest(claim) &&
      this.isInEffect(claim);
    return isCurrent ? this.options.tracker.heldUntil() : -Infinity;
  }

  private isLatest(claim: OwnClaim): boolean {
    const read = this.options.stream.state().claims.get(claim.group);
    if (read?.epoch === claim.epoch && read.released) return false;
    const latest = this.options.view.latestClaim(claim.group);
    return latest?.epoch === claim.epoch;
  }

  private remove(claim: OwnClaim): void {
    this.claims.delete(claim.group);
    if (!claim.isStopped) this.reportLost(claim);
  }

  private reportLost(claim: OwnClaim): void {
    if (!claim.isReported) return;
    for (const listener of this.listeners) {
      listener.lost(claim.group, claim.epoch);
    }
  }
}

function isInEffect(claim: OwnClaim, now: number): boolean {
  return (
    !claim.isStopped &&
    claim.effectiveAt !== undefined &&
    now >= claim.effectiveAt
  );
}
