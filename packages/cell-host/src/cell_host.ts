import type {HostRecord, OwnerRecord} from '@cardamomfield/cell-model';
import {SubmissionLimits} from '@cardamomfield/cell-scheduler';
import type {Clock} from '@cardamomfield/clock';
import {type TypedError, UnavailableError} from '@cardamomfield/errors';
import type {Logger} from '@cardamomfield/logger';
import type {Metrics} from '@cardamomfield/metrics';
import {
  type AdviceChannel,
  type ShardClaim,
  ShardOwner,
} from '@cardamomfield/shard-owner';
import {
  RelayChannel,
  RelayServer,
  RelayedWorkerLinks,
} from '@cardamomfield/worker-relay';
import {type Either, Left, Right} from 'purify-ts';
import type {z} from 'zod';
import type {CellPorts} from './cell_ports.js';
import type {CellSettings} from './cell_settings.js';
import {CallerAuthenticator} from './caller_authenticator.js';
import {DesiredStateCache} from './desired_state_cache.js';
import {FormerOwnerMonitor} from './former_owner_monitor.js';
import {HostRanking} from './host_ranking.js';
import {Membership} from './membership.js';
import {NotOwnerError} from './not_owner_error.js';
import {OwnerElection} from './owner_election.js';
import {OwnerHeartbeat} from './owner_heartbeat.js';
import type {PeerClient} from './peer_client.js';
import {PauseMonitor} from './pause_monitor.js';
import {PeerMessages} from './peer_messages.js';
import {PeerMethod} from './peer_method.js';
import type {PeerServer} from './peer_server.js';
import {RemoteAdviser} from './remote_adviser.js';
import {ShardGateway} from './shard_gateway.js';

/** Time limit for a call that introduces this host or announces an owner. */
const INTRODUCE_TIMEOUT_MILLISECONDS = 1_000;

/** Pause between attempts to announce this host. */
const ANNOUNCE_RETRY_MILLISECONDS = 1_000;

/** Time limit for a successor to take over the shard. */
const TAKEOVER_TIMEOUT_MILLISECONDS = 1_200;

/** Interval at which an owner checks for a host better suited as owner. */
const BETTER_HOST_CHECK_MILLISECONDS = 500;

/**
 * An owner whose direct calls to the log have failed for this long, while
 * appends through peers succeed, hands the shard over. Shorter outages are
 * bridged by the peers.
 */
const DIRECT_LOG_FAILURE_MILLISECONDS = 1_200;

/**
 * Applies instead while appends through peers fail as well. The store may then
 * be down for all hosts. After this time the peers have detected whether it
 * serves them, and only hosts that it serves accept the shard.
 */
const LOG_DOWN_MILLISECONDS = 1_800;

/**
 * Maximum number of hosts that one handover asks to take over the shard, and
 * that a former owner asks for its successor.
 */
const HOSTS_PER_HANDOVER = 6;

/** An owner hands over to a host with this many times the owner's cores. */
const STRONGER_HOST_FACTOR = 1.5;

/** Ended ownerships that a host tells others of. */
const MAXIMUM_ENDED_OWNERSHIPS = 8;

/** Age of the last grant that is stated for an owner without any. */
const NEVER_GRANTED_MILLISECONDS = 1e9;

/** A host without contact with the owner for this long is not ready. */
const MAXIMUM_OWNER_SILENCE_MILLISECONDS = 3_000;

interface CellHostOptions {
  settings: CellSettings;
  ports: CellPorts;
  peers: PeerClient;
  server: PeerServer;
  clock: Clock;
  logger: Logger;
  metrics: Metrics;
  random: () => number;
  /** New after each start of the process. */
  incarnation: string;
}

/** One host of the cell. It accepts requests and may own the shard. */
export class CellHost {
  readonly desiredState: DesiredStateCache;
  readonly authenticator: CallerAuthenticator;
  readonly gateway: ShardGateway;
  readonly membership: Membership;
  private readonly election: OwnerElection;
  private readonly ranking = HostRanking.create();
  private readonly relayServer: RelayServer;
  private readonly stopping = new AbortController();
  private readonly formerOwners: FormerOwnerMonitor;
  /**
   * Monotonic times of the last grants of leases, by epoch that this process
   * owned and does not own any more.
   */
  private readonly endedOwnerships = new Map<number, number>();
  /** Channels through other hosts; each scheduling pass asks for all of them. */
  private readonly remoteAdvisers = new WeakMap<HostRecord, RemoteAdviser>();
  private owner: ShardOwner | undefined;
  private isFetchingDesiredState = false;
  private readonly pauses: PauseMonitor;

  private constructor(private readonly options: CellHostOptions) {
    const {settings, peers, clock, logger, ports} = options;
    const self: HostRecord = {
      name: settings.hostName,
      address: settings.peerAddress,
      region: settings.region,
      availabilityZone: settings.availabilityZone,
      milliCores: settings.milliCores,
      incarnation: options.incarnation,
    };
    this.membership = Membership.create(self, clock, logger, owner =>
      this.handleOwnerChange(owner),
    );
    this.desiredState = DesiredStateCache.create(logger);
    this.authenticator = CallerAuthenticator.create(this.desiredState);
    this.pauses = PauseMonitor.create(clock);
    this.gateway = ShardGateway.create({
      membership: this.membership,
      peers,
      clock,
      localOwner: () => this.owner,
      limits: SubmissionLimits.create(settings.limits),
    });
    this.election = OwnerElection.create({
      membership: this.membership,
      peers,
      log: ports.log,
      clock,
      logger,
      shard: settings.shard,
      random: options.random,
      isOwner: () => this.owner !== undefined,
      desiredStateVersion: () => this.desiredState.version,
      onNewerDesiredState: address => void this.fetchDesiredState(address),
      onClaimed: claim => this.becomeOwner(claim),
      onUnfinishedClaim: () =>
        void this.handOver(
          this.candidates().slice(0, HOSTS_PER_HANDOVER),
          'the records of the shard could not be read',
        ),
    });
    this.formerOwners = FormerOwnerMonitor.create({
      membership: this.membership,
      peers,
      clock,
      logger,
      isOwner: () => this.owner !== undefined,
      endedOwnerships: this.endedOwnerships,
    });
    this.relayServer = RelayServer.create({links: ports.links, clock, logger});
    options.server.handleUpgrade(RelayChannel.protocol, socket =>
      this.relayServer.serve(socket),
    );
    this.addMethods(options.server);
  }

  static create(options: CellHostOptions): CellHost {
    return new CellHost(options);
  }

  /** Runs until `stop`. */
  async run(): Promise<void> {
    const {ports, settings} = this.options;
    const {signal} = this.stopping;
    for (const address of settings.seedAddresses) {
      if (address !== settings.peerAddress) void this.introduce(address);
    }
    await Promise.all([
      this.announce(),
      ports.hosts.follow(
        {
          onHost: host => this.handleHost(host),
          onOwner: owner => this.membership.updateOwner(owner, 'hint'),
        },
        signal,
      ),
      ports.desiredState.follow(
        state => this.desiredState.update(state),
        signal,
      ),
      this.election.run(),
      this.formerOwners.run(),
      this.pauses.run(signal),
    ]);
  }

  get isOwner(): boolean {
    return this.owner !== undefined;
  }

  /**
   * True for a moment after a pause of the process: its desired state may be
   * older than calls that it now reads.
   */
  get isRecoveringFromPause(): boolean {
    return this.pauses.isRecovering;
  }

  /** True while clients should open new connections to this host. */
  get isReady(): boolean {
    if (this.stopping.signal.aborted || this.isLeaving) return false;
    if (!this.desiredState.state) return false;
    if (this.owner) return true;
    const silence =
      this.options.clock.monotonicNow() - this.membership.lastOwnerContactAt;
    return silence < MAXIMUM_OWNER_SILENCE_MILLISECONDS;
  }

  private isLeaving = false;

  /** Hands the shard over to another host; requests are still accepted. */
  async leave(): Promise<void> {
    this.isLeaving = true;
    this.election.stop();
    void this.announceLeaving();
    if (!this.owner) return;
    await this.handOver(this.candidates(), 'leaving');
    this.dropOwner();
  }

  /**
   * Tells the other hosts to call this one no more. Calls to a host that has gone
   * run into their time limits, again and again.
   */
  private async announceLeaving(): Promise<void> {
    const {ports, logger} = this.options;
    const result = await ports.hosts.announceHost({
      ...this.membership.self,
      isLeaving: true,
    });
    result.ifLeft(error =>
      logger.warn('leaving not announced', {cause: error.message}),
    );
  }

  private handleHost(host: HostRecord): void {
    const {self} = this.membership;
    this.membership.updateHost(host);
    // The former process's announcement may be carried out after this one's.
    const isReplaced = host.name === self.name && host.isLeaving === true;
    if (isReplaced && host.incarnation !== self.incarnation) {
      void this.announce();
    }
  }

  /** Responsive hosts, in order of preference as owner of the shard. */
  private responsiveCandidates(): HostRecord[] {
    const peers = this.membership.responsivePeers();
    return this.ranking.rank(peers, this.owner?.epoch ?? 0);
  }

  /** As above, followed by the unresponsive hosts, which may be back. */
  private candidates(): HostRecord[] {
    const responsive = this.responsiveCandidates();
    const others = this.membership
      .peers()
      .filter(host => !responsive.includes(host));
    return [
      ...responsive,
      ...this.ranking.rank(others, this.owner?.epoch ?? 0),
    ];
  }

  /** Asks the hosts one after the other to take over, until one succeeds. */
  private async handOver(hosts: HostRecord[], reason: string): Promise<void> {
    const {peers, logger} = this.options;
    for (const host of hosts) {
      const result = await peers.call(
        host.address,
        PeerMethod.takeOver,
        {owner: this.membership.owner},
        PeerMessages.empty,
        TAKEOVER_TIMEOUT_MILLISECONDS,
      );
      logger.info('shard handover attempted', {
        to: host.name,
        reason,
        isTaken: result.isRight(),
        cause: result.isLeft()
          ? (result.extract() as TypedError).message
          : undefined,
      });
      if (result.isRight()) return;
    }
  }

  /** Hands the shard over as soon as another host can serve it better. */
  private async handOverToBetterHost(owner: ShardOwner): Promise<void> {
    const {clock, settings, ports} = this.options;
    while (this.owner === owner && !this.stopping.signal.aborted) {
      await clock.sleepUntil(
        clock.monotonicNow() + BETTER_HOST_CHECK_MILLISECONDS,
      );
      if (this.owner !== owner) continue;
      const isLogDown = owner.isLogDown();
      const limit = isLogDown
        ? LOG_DOWN_MILLISECONDS
        : DIRECT_LOG_FAILURE_MILLISECONDS;
      if (ports.directLogFailureMilliseconds() > limit) {
        const others = this.candidates().slice(0, HOSTS_PER_HANDOVER);
        await this.handOver(others, 'direct calls to the log fail');
        continue;
      }
      if (isLogDown) continue;
      const stronger = this.responsiveCandidates().filter(
        host => host.milliCores >= settings.milliCores * STRONGER_HOST_FACTOR,
      );
      await this.handOver(stronger.slice(0, 1), 'a stronger host is available');
    }
  }

  stop(): void {
    this.isLeaving = true;
    this.stopping.abort();
    this.election.stop();
    this.formerOwners.stop();
    this.dropOwner();
    this.relayServer.close();
  }

  /**
   * Ends the ownership of this host when it learns of a later claim: the log
   * holds that claim, so requests are for its owner.
   */
  private handleOwnerChange({epoch, hostName}: OwnerRecord): void {
    if (!this.owner || this.owner.epoch >= epoch) return;
    this.options.logger.warn('shard lost to another owner', {
      epoch: this.owner.epoch,
      cause: `host ${hostName} has claimed epoch ${epoch}`,
    });
    this.dropOwner();
  }

  /** Asks other hosts for the owner that has replaced this host. */
  private async findNewOwner(): Promise<void> {
    const {peers} = this.options;
    const hosts = this.responsiveCandidates().slice(0, HOSTS_PER_HANDOVER);
    await Promise.all(
      hosts.map(async host => {
        const result = await peers.call(
          host.address,
          PeerMethod.ownerContact,
          {},
          PeerMessages.ownerContactResult,
          INTRODUCE_TIMEOUT_MILLISECONDS,
        );
        result.ifRight(({owner}) => {
          if (owner) this.membership.updateOwner(owner, 'news');
        });
      }),
    );
  }

  private dropOwner(): void {
    const {owner} = this;
    if (!owner) return;
    owner.stop();
    this.handleOwnershipEnd(owner);
  }

  /** Notes that an owner on this host has been stopped. */
  private handleOwnershipEnd(owner: ShardOwner): void {
    if (this.owner === owner) this.owner = undefined;
    this.endedOwnerships.set(owner.epoch, owner.lastGrantAt);
    const [oldest] = this.endedOwnerships.keys();
    if (
      oldest !== undefined &&
      this.endedOwnerships.size > MAXIMUM_ENDED_OWNERSHIPS
    ) {
      this.endedOwnerships.delete(oldest);
    }
  }

  private async announce(): Promise<void> {
    const {ports, clock, logger} = this.options;
    while (!this.stopping.signal.aborted) {
      const result = await ports.hosts.announceHost(this.membership.self);
      if (result.isRight()) return;
      logger.warn('host announcement failed; retrying', {
        cause: (result.extract() as TypedError).message,
      });
      await clock.sleepUntil(
        clock.monotonicNow() + ANNOUNCE_RETRY_MILLISECONDS,
      );
    }
  }

  /** Announces this host to another one and stores the data it answers with. */
  private async introduce(address: string): Promise<void> {
    const result = await this.options.peers.call(
      address,
      PeerMethod.introduce,
      {host: this.membership.self},
      PeerMessages.introduceResult,
      INTRODUCE_TIMEOUT_MILLISECONDS,
    );
    if (result.isLeft()) return;
    const {hosts, owner, desiredState} = result.unsafeCoerce();
    for (const host of hosts) this.membership.updateHost(host);
    if (owner) this.membership.updateOwner(owner, 'hint');
    if (desiredState) this.desiredState.update(desiredState);
  }

  /**
   * Gets the newer desired state of another host. Peers state its version
   * several times a second, and it can be large, so it is fetched from one at a
   * time.
   */
  private async fetchDesiredState(address: string): Promise<void> {
    if (this.isFetchingDesiredState) return;
    this.isFetchingDesiredState = true;
    await this.introduce(address);
    this.isFetchingDesiredState = false;
  }

  private noteDesiredStateOf(call: z.infer<typeof PeerMessages.ping>): void {
    const {desiredStateVersion = -1, address} = call;
    if (
      address !== undefined &&
      desiredStateVersion > this.desiredState.version
    ) {
      void this.fetchDesiredState(address);
    }
  }

  private becomeOwner(claim: ShardClaim): void {
    const {ports, clock, logger, metrics, settings} = this.options;
    if (this.stopping.signal.aborted) return;
    if (this.membership.owner?.epoch !== claim.owner.epoch) {
      logger.warn('shard lost to another owner', {
        epoch: claim.owner.epoch,
        cause: 'a later claim was announced first',
      });
      return;
    }
    const links = RelayedWorkerLinks.create({
      direct: ports.links,
      hosts: () => this.membership.responsivePeers(),
      ownerName: settings.hostName,
      ownerMilliCores: settings.milliCores,
      epoch: claim.owner.epoch,
      clock,
      logger,
      metrics,
    });
    const owner = ShardOwner.create({
      claim,
      log: ports.log,
      links,
      directory: ports.workers,
      adviceChannels: () => this.adviceChannels(),
      clock,
      logger,
      metrics,
      timing: settings.timing,
      limits: settings.limits,
      policies: settings.policies,
      desiredState: () => this.desiredState.state,
      formerOwners: this.formerOwners,
      random: this.options.random,
      onLost: () => {
        this.handleOwnershipEnd(owner);
        void this.findNewOwner();
      },
    });
    this.owner = owner;
    metrics.increment('shard_claims');
    metrics.gauge('owned_epoch', claim.owner.epoch);
    void owner.run().finally(() => links.close());
    void this.announceOwner(claim);
    void this.handOverToBetterHost(owner);
    void this.heartbeatOf(owner).run();
  }

  private heartbeatOf(owner: ShardOwner): OwnerHeartbeat {
    const {peers, clock, metrics} = this.options;
    return OwnerHeartbeat.create({
      membership: this.membership,
      peers,
      clock,
      metrics,
      status: () =>
        this.owner === owner
          ? {
              epoch: owner.epoch,
              isLogDown: owner.isLogDown(),
              desiredStateVersion: this.desiredState.version,
            }
          : undefined,
    });
  }

  private async announceOwner(claim: ShardClaim): Promise<void> {
    const {ports, logger, peers} = this.options;
    // Peers receive the claim by this call before the directory shows it.
    for (const host of this.membership.responsivePeers()) {
      void peers.call(
        host.address,
        PeerMethod.ownerUpdate,
        {owner: claim.owner},
        PeerMessages.empty,
        INTRODUCE_TIMEOUT_MILLISECONDS,
      );
    }
    const result = await ports.hosts.announceOwner(claim.owner);
    if (result.isLeft()) {
      logger.warn('owner announcement failed', {
        cause: (result.extract() as TypedError).message,
      });
    }
  }

  private adviceChannels(): AdviceChannel[] {
    const {ports} = this.options;
    const channels: AdviceChannel[] = [];
    if (ports.adviser) {
      channels.push({
        hostName: this.membership.self.name,
        adviser: ports.adviser,
      });
    }
    for (const host of this.membership.responsivePeers()) {
      channels.push({
        hostName: host.name,
        adviser: this.remoteAdviserOf(host),
      });
    }
    return channels;
  }

  private remoteAdviserOf(host: HostRecord): RemoteAdviser {
    const known = this.remoteAdvisers.get(host);
    if (known) return known;
    const {peers} = this.options;
    const adviser = RemoteAdviser.create(peers, host, this.membership);
    this.remoteAdvisers.set(host, adviser);
    return adviser;
  }

  private addMethods(server: PeerServer): void {
    const {ports, clock} = this.options;
    server.handle(PeerMethod.ping, PeerMessages.ping, async call => {
      this.noteDesiredStateOf(call);
      return Right({
        isOwner: this.owner !== undefined,
        epoch: this.owner?.epoch ?? 0,
        isLogDown: this.owner?.isLogDown() ?? false,
        desiredStateVersion: this.desiredState.version,
        owner: this.membership.owner,
        incarnation: this.membership.self.incarnation,
        endedOwnerships: [...this.endedOwnerships].map(
          ([epoch, grantedAt]) => ({
            epoch,
            lastGrantMillisecondsAgo: Math.min(
              clock.monotonicNow() - grantedAt,
              NEVER_GRANTED_MILLISECONDS,
            ),
          }),
        ),
      });
    });
    server.handle(PeerMethod.heartbeat, PeerMessages.heartbeat, async call => {
      this.noteDesiredStateOf(call);
      this.election.receiveHeartbeat(call);
      return Right({});
    });
    server.handle(PeerMethod.ownerContact, PeerMessages.ping, async call => {
      this.noteDesiredStateOf(call);
      return Right({
        epoch: this.membership.owner?.epoch ?? 0,
        heardMillisecondsAgo: this.owner
          ? this.owner.proofAgeMilliseconds
          : Math.min(
              clock.monotonicNow() - this.membership.lastOwnerContactAt,
              1e9,
            ),
        desiredStateVersion: this.desiredState.version,
        owner: this.membership.owner,
      });
    });
    server.handle(
      PeerMethod.ownerUpdate,
      PeerMessages.ownerUpdate,
      async call => {
        this.membership.updateOwner(call.owner, 'news');
        return Right({});
      },
    );
    server.handle(PeerMethod.introduce, PeerMessages.introduce, async call => {
      this.membership.updateHost(call.host);
      if (call.owner) this.membership.updateOwner(call.owner, 'news');
      return Right({
        hosts: [this.membership.self, ...this.membership.peers()],
        owner: this.membership.owner,
        desiredState: this.desiredState.state,
      });
    });
    server.handle(PeerMethod.takeOver, PeerMessages.takeOver, async call => {
      const known = this.membership.owner;
      if (call.owner && known && known.epoch > call.owner.epoch) {
        return Left(UnavailableError.create('the shard has a newer owner'));
      }
      if (call.owner) this.membership.updateOwner(call.owner, 'news');
      if (this.isLeaving) {
        return Left(UnavailableError.create('this host is leaving too'));
      }
      if (ports.directLogFailureMilliseconds() > 0) {
        return Left(
          UnavailableError.create('the log does not serve this host'),
        );
      }
      await this.election.claim('handed over');
      return this.owner ? Right({}) : Left(NotOwnerError.create());
    });
    server.handle(PeerMethod.submit, PeerMessages.submit, call =>
      this.withOwner(owner =>
        owner.submit(call.id, call.queue, call.specification, call.caller),
      ),
    );
    server.handle(PeerMethod.show, PeerMessages.submissionId, call =>
      this.withOwner(owner => owner.show(call.id, call.caller)),
    );
    server.handle(PeerMethod.cancel, PeerMessages.submissionId, call =>
      this.withOwner(owner => owner.cancel(call.id, call.caller)),
    );
    server.handle(PeerMethod.countPending, PeerMessages.queueName, call =>
      this.withOwner(owner => owner.countPending(call.queueName, call.caller)),
    );
    server.handle(PeerMethod.explain, PeerMessages.explain, call =>
      this.withOwner(async owner => owner.explain(call.question)),
    );
    server.handle(
      PeerMethod.queryAdvice,
      PeerMessages.adviceQuery,
      async call => {
        if (!ports.adviser) {
          return Left(
            UnavailableError.create('this host has no advice service'),
          );
        }
        const advice = await ports.adviser.ask(
          call.stepName,
          call.workerIds,
          call.timeoutMilliseconds,
        );
        return advice.map(value => ({
          tickets: [...value.tickets],
          validMilliseconds: value.validMilliseconds,
        }));
      },
    );
    server.handle(PeerMethod.relay, PeerMessages.relay, async call =>
      Right({
        response: await ports.relay(call.request, call.timeoutMilliseconds),
      }),
    );
  }

  private async withOwner<Value>(
    work: (owner: ShardOwner) => Promise<Either<TypedError, Value>>,
  ): Promise<Either<TypedError, Value>> {
    if (!this.owner) return Left(NotOwnerError.create());
    return work(this.owner);
  }
}
