import {setMaxListeners} from 'node:events';
import type {Clock, RandomSource} from '@cardamomfield/clock';
import type {TypedError} from '@cardamomfield/errors';
import type {FollowedStream} from '@cardamomfield/log-follower';
import type {Logger} from '@cardamomfield/logger';
import type {Metrics} from '@cardamomfield/metrics';
import {
  OwnershipSection,
  type PeerNetwork,
  type VotersView,
} from '@cardamomfield/peer-protocol';
import type {Timeline} from '@cardamomfield/timeline';
import type {Either} from 'purify-ts';
import {AuthorityExtension} from './authority_extension.js';
import {AuthorityTracker} from './authority_tracker.js';
import {ClaimAnnouncer} from './claim_announcer.js';
import type {GroupAuthority} from './group_authority.js';
import {OwnerCandidates} from './owner_candidates.js';
import {GroupClaiming} from './group_claiming.js';
import type {GroupHandover} from './group_handover.js';
import {GroupRebalancing} from './group_rebalancing.js';
import {GroupRelease} from './group_release.js';
import {HostLiveness} from './host_liveness.js';
import {OwnClaims} from './own_claims.js';
import type {OwnershipContext} from './ownership_context.js';
import {OwnershipView} from './ownership_view.js';
import type {OwnershipListener} from './ownership_listener.js';
import type {OwnershipRecord} from './ownership_record.js';
import {OwnershipSettings} from './ownership_settings.js';
import type {OwnershipState} from './ownership_state.js';
import type {OwnershipStatus} from './ownership_status.js';
import {PeerRequestHandlers} from './peer_request_handlers.js';
import {RendezvousRanking} from './rendezvous_ranking.js';
import {VoterMembership} from './voter_membership.js';
import {Wakeup} from './wakeup.js';

interface OwnershipManagerOptions {
  process: string;
  incarnation: string;
  clock: Clock;
  random: RandomSource;
  logger: Logger;
  metrics: Metrics;
  timeline: Timeline;
  /** Stream `ownership`, followed with `OwnershipFold`. */
  stream: FollowedStream<OwnershipState>;
  network: PeerNetwork;
  settings?: Partial<OwnershipSettings>;
}

interface ReleaseOptions {
  /** Monotonic instant after which all attempts end. */
  deadline: number;
  /** Host that should claim the groups; by default the next in the ranking. */
  successor?: string;
}

interface ReleaseAllOptions {
  /** Monotonic instant after which all attempts end. */
  deadline: number;
  /** Whether the host is being decommissioned and also leaves the voters. */
  isDecommissioning: boolean;
}

/** The owner of a group, as known to this process. */
interface GroupOwner {
  process: string;
  incarnation: string;
  epoch: number;
  deputy: string | null;
}

/** Manages the group claims and the voter membership of this process. */
export class OwnershipManager {
  private constructor(
    private readonly context: OwnershipContext,
    private readonly extension: AuthorityExtension,
    private readonly announcer: ClaimAnnouncer,
    private readonly candidates: OwnerCandidates,
    private readonly claiming: GroupClaiming,
    private readonly releasing: GroupRelease,
    private readonly rebalancing: GroupRebalancing,
    private readonly membership: VoterMembership,
  ) {}

  /** Registers the handlers on the network; `run` starts the loops. */
  static async create(
    options: OwnershipManagerOptions,
  ): Promise<OwnershipManager> {
    const context = await createContext(options);
    PeerRequestHandlers.create(context);
    const candidates = OwnerCandidates.create(context);
    const claiming = GroupClaiming.create(context, candidates);
    const releasing = GroupRelease.create(context, candidates);
    const manager = new OwnershipManager(
      context,
      AuthorityExtension.create(context),
      ClaimAnnouncer.create(context),
      candidates,
      claiming,
      releasing,
      GroupRebalancing.create(context, candidates, claiming, releasing),
      VoterMembership.create(context),
    );
    manager.registerListeners();
    return manager;
  }

  /** Runs all loops until the signal aborts. */
  async run(signal: AbortSignal): Promise<void> {
    const stopSignal = AbortSignal.any([signal]);
    // Each voter's query loop adds a listener to the signal. With many voters,
    // the count may exceed the limit above which Node prints a warning.
    setMaxListeners(0, stopSignal);
    await Promise.all([
      this.extension.runTailReads(stopSignal),
      this.extension.runVoterQueries(stopSignal),
      this.announcer.run(stopSignal),
      this.claiming.run(stopSignal),
      this.rebalancing.run(stopSignal),
      this.membership.run(stopSignal),
    ]);
  }

  /** This process's authority over a group once its claim takes effect. */
  authority(group: string): GroupAuthority | undefined {
    return this.context.claims.authority(group);
  }

  /**
   * The right of the deputy named in the claim to renew leases of a group whose
   * owner is silent. It requires the answers of a majority; a tail read is not
   * sufficient.
   */
  renewalAuthority(group: string): GroupAuthority | undefined {
    const {clock, view, process} = this.context;
    const claim = view.latestClaim(group);
    if (!claim || claim.deputy !== process) return undefined;
    const heldUntil = () => this.heldForRenewalUntil(group, claim.epoch);
    return {
      epoch: claim.epoch,
      isHeld: () => clock.monotonicNow() < heldUntil(),
      heldUntil,
    };
  }

  /** Owner by the latest claim of the group, unless it was released. */
  ownerOf(group: string): GroupOwner | undefined {
    const {view, stream} = this.context;
    const claim = view.latestClaim(group);
    if (!claim) return undefined;
    const read = stream.state().claims.get(group);
    if (read?.epoch === claim.epoch && read.released) return undefined;
    const {process, incarnation, epoch, deputy} = claim;
    return {process, incarnation, epoch, deputy};
  }

  /** The latest voters known. */
  voters(): VotersView {
    return this.context.view.voters();
  }

  /** Whether the log was read up to its tail and this process is a voter. */
  isReady(): boolean {
    const {view, process, stream} = this.context;
    return stream.isCaughtUp() && view.voters().members.includes(process);
  }

  /** Adds a listener; returns the function that removes it. */
  addListener(listener: OwnershipListener): () => void {
    return this.context.claims.addListener(listener);
  }

  /** Sets the handover that transfers the state of groups before a release. */
  setHandover(handover: GroupHandover): void {
    this.releasing.setHandover(handover);
  }

  /** Sets the groups that should have an owner: racks and key partitions. */
  setGroups(groups: readonly string[]): void {
    this.claiming.setGroups(groups);
  }

  /** Hands groups over; returns those over which authority was ended. */
  release(
    groups: readonly string[],
    options: ReleaseOptions,
  ): Promise<string[]> {
    return this.releasing.release(groups, options.deadline, options.successor);
  }

  /**
   * Hands all groups over and claims no more groups. Authority has ended when
   * this resolves, even if the releases did not reach the log.
   */
  async releaseAll(options: ReleaseAllOptions): Promise<void> {
    const {claims, clock, settings} = this.context;
    this.candidates.acceptsGroups = false;
    const groups = claims.all().map(claim => claim.group);
    await this.releasing.release(groups, options.deadline);
    for (const claim of claims.all()) claims.stop(claim);
    if (!options.isDecommissioning) return;
    this.membership.leave();
    while (
      this.membership.isMember() &&
      clock.monotonicNow() < options.deadline
    ) {
      const next =
        clock.monotonicNow() + settings.evaluationIntervalMilliseconds;
      await clock.sleepUntil(Math.min(next, options.deadline));
    }
  }

  /**
   * Replaces the voters by operator command after the permanent loss of a
   * majority. A member of the old set that still runs may hold authority at the
   * same time as the new owners, so this must not be automated.
   */
  resetVoters(
    members: readonly string[],
    editor: string,
    deadline: number,
  ): Promise<Either<TypedError, number>> {
    const record: OwnershipRecord = {
      kind: 'voters-reset',
      members: [...members],
      editor,
    };
    return this.context.stream.append(record, deadline);
  }

  /** A summary for operators. */
  status(): OwnershipStatus {
    const {claims, clock, incarnation, process, stream, tracker} = this.context;
    const now = clock.monotonicNow();
    return {
      process,
      incarnation,
      isReady: this.isReady(),
      nextOffset: stream.nextOffset(),
      voters: this.voters(),
      authorityRemainingMilliseconds: Math.max(0, tracker.heldUntil() - now),
      groups: claims.all().map(claim => ({
        group: claim.group,
        epoch: claim.epoch,
        deputy: claim.deputy,
        isInEffect: claims.isInEffect(claim),
        isHeld: claims.authority(claim.group)?.isHeld() ?? false,
      })),
    };
  }

  private registerListeners(): void {
    const {claims, incarnation, view, liveness, network, stream, wakeup} =
      this.context;
    view.onChange(() => {
      claims.refresh();
      wakeup.wake();
    });
    network.onPeersChange(() => wakeup.wake());
    network.publish(OwnershipSection, () => ({
      incarnation,
      nextOffset: stream.nextOffset(),
      isEligible: this.candidates.isSelfEligible(),
      hears: liveness.liveHosts(),
    }));
  }

  private heldForRenewalUntil(group: string, epoch: number): number {
    const {view, liveness, process, stream, tracker} = this.context;
    const claim = view.latestClaim(group);
    if (claim?.epoch !== epoch || claim.process === process) return -Infinity;
    if (stream.state().claims.get(group)?.released) return -Infinity;
    if (!liveness.isDown(claim.process, claim.incarnation)) return -Infinity;
    return tracker.heldByMajorityUntil();
  }
}

async function createContext(
  options: OwnershipManagerOptions,
): Promise<OwnershipContext> {
  const {clock, incarnation, network, process, stream} = options;
  const settings = OwnershipSettings.parse(options.settings ?? {});
  const view = OwnershipView.create(stream);
  const {authorityPeriodMilliseconds} = settings;
  const tracker = AuthorityTracker.create({
    process,
    authorityPeriodMilliseconds,
  });
  return {
    ...options,
    settings,
    view,
    tracker,
    claims: OwnClaims.create({
      process,
      incarnation,
      clock,
      stream,
      view,
      tracker,
    }),
    liveness: HostLiveness.create({incarnation, clock, network, settings}),
    ranking: await RendezvousRanking.create(),
    wakeup: Wakeup.create(clock),
  };
}
