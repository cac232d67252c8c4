import type {FollowedStream} from '@cardamomfield/log-follower';
import type {KnownClaim, VotersView} from '@cardamomfield/peer-protocol';
import type {OwnershipState} from './ownership_state.js';

/**
 * The claims and voters known to this process: the state read from the log,
 * merged with newer claims and voters received from peers.
 */
export class OwnershipView {
  private readonly announced = new Map<string, KnownClaim>();
  private announcedVoters: VotersView | undefined;
  private readonly listeners = new Set<() => void>();

  private constructor(private readonly stream: FollowedStream<OwnershipState>) {
    stream.onChange(() => {
      this.dropOlderThanLog();
      this.notify();
    });
  }

  static create(stream: FollowedStream<OwnershipState>): OwnershipView {
    return new OwnershipView(stream);
  }

  /** The latest claim of a group, from the log or from a peer. */
  latestClaim(group: string): KnownClaim | undefined {
    const read = this.stream.state().claims.get(group);
    const announced = this.announced.get(group);
    if (!read || !announced) return read ?? announced;
    return announced.epoch > read.epoch ? announced : read;
  }

  /** The latest voters, from the log or from a peer. */
  voters(): VotersView {
    const read = this.stream.state().voters;
    const announced = this.announcedVoters;
    return announced && announced.offset > read.offset ? announced : read;
  }

  /** Claims whose epoch is at or above an offset. */
  claimsFrom(offset: number): KnownClaim[] {
    const newer = [...this.announced.values()].filter(
      claim => claim.epoch >= offset,
    );
    if (this.stream.nextOffset() <= offset) return newer;
    for (const claim of this.stream.state().claims.values()) {
      if (claim.epoch >= offset) newer.push(toKnownClaim(claim));
    }
    return newer;
  }

  /** The latest voters if they are newer than the offset, or null. */
  votersAfter(offset: number): VotersView | null {
    const voters = this.voters();
    return voters.offset > offset ? voters : null;
  }

  /** The latest claims of those groups whose given claim is outdated. */
  newerClaims(claims: readonly KnownClaim[]): KnownClaim[] {
    return claims.flatMap(claim => {
      const latest = this.latestClaim(claim.group);
      return latest && latest.epoch > claim.epoch ? [toKnownClaim(latest)] : [];
    });
  }

  /** Merges claims and voters received from a peer. */
  merge(claims: readonly KnownClaim[], voters: VotersView | null): void {
    let isChanged = false;
    for (const claim of claims) {
      const latest = this.latestClaim(claim.group);
      if (latest && latest.epoch >= claim.epoch) continue;
      this.announced.set(claim.group, claim);
      isChanged = true;
    }
    if (voters && voters.offset > this.voters().offset) {
      this.announcedVoters = voters;
      isChanged = true;
    }
    if (isChanged) this.notify();
  }

  /** Calls the listener after each change. */
  onChange(listener: () => void): void {
    this.listeners.add(listener);
  }

  private notify(): void {
    for (const listener of this.listeners) listener();
  }

  private dropOlderThanLog(): void {
    const nextOffset = this.stream.nextOffset();
    for (const [group, claim] of this.announced) {
      if (claim.epoch < nextOffset) this.announced.delete(group);
    }
  }
}

function toKnownClaim(claim: KnownClaim): KnownClaim {
  const {group, epoch, process, incarnation, deputy} = claim;
  return {group, epoch, process, incarnation, deputy};
}
