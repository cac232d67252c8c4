import {FencingSequence} from './fencing_sequence.js';
import type {FormerOwners} from './former_owners.js';
import type {LeaseRecords} from './lease_records.js';
import {LeaseTerms} from './lease_terms.js';
import type {OwnerTiming} from './owner_timing.js';

interface EarlierLeasesOptions {
  /** Epoch of the present owner. */
  epoch: number;
  formerOwners: FormerOwners;
  records: LeaseRecords;
  timing: OwnerTiming;
  /**
   * Monotonic time by which the leases of owners have ended that do not keep to
   * `LeaseTerms`.
   */
  unboundedLeasesEndAt: number;
}

/** Tells when the leases that earlier owners granted have ended. */
export class EarlierLeases {
  private constructor(private readonly options: EarlierLeasesOptions) {}

  static create(options: EarlierLeasesOptions): EarlierLeases {
    return new EarlierLeases(options);
  }

  /** Monotonic time by which the leases of unbounded length have ended. */
  get unboundedEndAt(): number {
    return this.options.unboundedLeasesEndAt;
  }

  /**
   * Monotonic time by which all runs under earlier owners' leases on a worker
   * have ended. It may become earlier as more is known about these owners.
   */
  endAt(workerId: string): number {
    const {epoch, records, unboundedLeasesEndAt} = this.options;
    const last = records.lastGrantingEpoch(workerId) ?? epoch - 1;
    return Math.max(unboundedLeasesEndAt, this.endUpTo(last));
  }

  /** The same for the leases granted under all epochs up to the given one. */
  private endUpTo(lastEpoch: number): number {
    const {formerOwners} = this.options;
    let endsAt = -Infinity;
    let previous = 0;
    for (const epoch of formerOwners.epochs) {
      if (epoch > lastEpoch) break;
      const hasGap = epoch !== FencingSequence.nextEpoch(previous);
      // Owners between the two epochs may be unknown to this process.
      if (hasGap) endsAt = Math.max(endsAt, this.latestEnd(epoch - 1));
      endsAt = Math.max(endsAt, this.endOf(epoch));
      previous = epoch;
    }
    if (FencingSequence.nextEpoch(previous) > lastEpoch) return endsAt;
    return Math.max(endsAt, this.latestEnd(lastEpoch));
  }

  private endOf(epoch: number): number {
    const {formerOwners, timing} = this.options;
    const grantedAt = formerOwners.lastGrantAt(epoch);
    const latestEnd = this.latestEnd(epoch);
    if (grantedAt === undefined) return latestEnd;
    const longest = LeaseTerms.runMilliseconds(
      LeaseTerms.leaseMilliseconds,
      timing,
    );
    return Math.min(latestEnd, grantedAt + longest);
  }

  /** Without knowledge of its grants: its last proof preceded the next claim. */
  private latestEnd(epoch: number): number {
    const {formerOwners, timing} = this.options;
    const longest = LeaseTerms.runMilliseconds(
      LeaseTerms.afterProofMilliseconds,
      timing,
    );
    return formerOwners.replacedAt(epoch) + longest;
  }
}
