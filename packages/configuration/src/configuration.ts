import type {Clock} from '@cardamomfield/clock';
import {
  RefusedError,
  type TypedError,
  UnavailableError,
} from '@cardamomfield/errors';
import type {FollowedStream} from '@cardamomfield/log-follower';
import type {Logger} from '@cardamomfield/logger';
import type {Metrics} from '@cardamomfield/metrics';
import {
  type PeerNetwork,
  configurationFetch,
  configurationSection,
} from '@cardamomfield/peer-protocol';
import type {Timeline} from '@cardamomfield/timeline';
import {type Either, Left, Right} from 'purify-ts';
import {z} from 'zod';
import type {ConfigurationChange} from './configuration_change.js';
import type {ConfigurationHistory} from './configuration_history.js';
import {ConfigurationRecord} from './configuration_record.js';
import {NO_VERSION} from './no_version.js';
import type {PublishOutcome} from './publish_outcome.js';
import type {Refusal} from './refusal.js';
import type {Verdict} from './verdict.js';
import type {VersionedConfiguration} from './versioned_configuration.js';
import {toState} from './to_state.js';
import {withDictionaries} from './with_dictionaries.js';

/** Period between two comparisons with the versions of the peers. */
const COMPARISON_INTERVAL_MILLISECONDS = 500;

/**
 * A process whose version is lower than that of a peer for this long, although
 * it follows the log, fetches the configuration from that peer.
 */
const MAXIMUM_LAG_MILLISECONDS = 1_000;

/** Longest wait for the answer of one peer. */
const FETCH_TIMEOUT_MILLISECONDS = 2_000;

const DEFAULT_LOG_CALL_TIMEOUT_MILLISECONDS = 2_000;

interface ConfigurationOptions {
  stream: FollowedStream<ConfigurationHistory>;
  network: PeerNetwork;
  clock: Clock;
  logger: Logger;
  metrics: Metrics;
  timeline: Timeline;
  /**
   * Longest wait until the log is read to its tail at the start. It should
   * exceed two heartbeat periods, so that the versions of all peers are known
   * when it ends.
   */
  logCallMilliseconds?: number;
}

interface PublishOptions {
  /** Version that the editor started from. */
  base: number;
  editor: string;
  /** Name by which `findVerdict` finds the verdict after a lost answer. */
  publication?: string;
}

type Listener = (configuration: VersionedConfiguration) => void;

/**
 * Holds the configuration in force in this process. Its version never
 * decreases. It comes from the log once the tail has been read, or from the
 * peer with the highest version while the log can't be read.
 */
export class Configuration {
  private inForce: VersionedConfiguration | undefined;
  private readonly listeners = new Set<Listener>();
  private lagDeadline: number | undefined;
  private publicationCount = 0;

  private constructor(private readonly options: ConfigurationOptions) {}

  /**
   * Subscribes to the stream and registers the peer handlers. `run` then keeps
   * the configuration up to date.
   */
  static create(options: ConfigurationOptions): Configuration {
    const configuration = new Configuration(options);
    options.stream.onChange(() => configuration.applyStream());
    options.network.handle(configurationFetch, async (_peer, parameters) =>
      configuration.answerFetch(parameters.atLeast),
    );
    options.network.publish(configurationSection, () => ({
      version: configuration.current()?.version ?? null,
    }));
    configuration.applyStream();
    return configuration;
  }

  /** The configuration in force; undefined before the process has caught up. */
  current(): VersionedConfiguration | undefined {
    return this.inForce;
  }

  /** Whether a configuration is in force, so that the process may serve. */
  isReady(): boolean {
    return this.inForce !== undefined;
  }

  /** Calls the listener after each change; returns an unsubscribe function. */
  onChange(listener: Listener): () => void {
    this.listeners.add(listener);
    return () => this.listeners.delete(listener);
  }

  /**
   * Until the signal aborts, periodically compares versions with the peers,
   * after a read of the log to its tail if the stream has not caught up yet.
   */
  async run(signal: AbortSignal): Promise<void> {
    const {clock} = this.options;
    while (!signal.aborted) {
      await this.catchUp();
      await this.compareWithPeers();
      const next = clock.monotonicNow() + COMPARISON_INTERVAL_MILLISECONDS;
      await clock.sleepUntil(next, signal);
    }
  }

  /**
   * Publishes a change and waits for its verdict until the monotonic
   * deadline. After `unknown` the change may or may not be in the log.
   */
  async publish(
    change: ConfigurationChange,
    options: PublishOptions,
    deadline: number,
  ): Promise<PublishOutcome> {
    const publication = options.publication ?? this.createPublicationName();
    const record = {...options, publication, change};
    const parsed = ConfigurationRecord.safeParse(record);
    if (!parsed.success) {
      const message = z.prettifyError(parsed.error);
      return refused({code: 'malformed', message});
    }
    const {stream} = this.options;
    const firstOffset = stream.nextOffset();
    const appended = await stream.append(parsed.data, deadline);
    const isOwnVerdict = (verdict: Verdict) =>
      appended.isRight()
        ? verdict.offset === appended.extract()
        : verdict.offset >= firstOffset && verdict.publication === publication;
    // A snapshot can contain the verdict on a record that this process did not
    // read, so the verdicts are searched even after a failed append.
    const verdict = this.verdicts().find(isOwnVerdict);
    const outcome = verdict
      ? outcomeOfVerdict(verdict)
      : appended.caseOf({
          Left: error => outcomeOfFailure(error, publication),
          Right: offset =>
            unknown(`no verdict on record ${offset} is kept`, publication),
        });
    this.options.metrics.increment(`configuration.publish.${outcome.outcome}`);
    return outcome;
  }

  /** The latest verdicts, oldest first, as far as the log has been read. */
  verdicts(): readonly Verdict[] {
    return this.options.stream.state().verdicts;
  }

  /** The verdict on a publication, if it is among the latest ones. */
  findVerdict(publication: string): Verdict | undefined {
    return this.verdicts().find(verdict => verdict.publication === publication);
  }

  /** Returns a name that is unique among the kept verdicts. */
  private createPublicationName(): string {
    const {network, clock} = this.options;
    this.publicationCount += 1;
    return `${network.self}.${clock.wallNow()}.${this.publicationCount}`;
  }

  private async catchUp(): Promise<void> {
    const {stream, clock, logCallMilliseconds} = this.options;
    if (!stream.isCaughtUp()) {
      const period =
        logCallMilliseconds ?? DEFAULT_LOG_CALL_TIMEOUT_MILLISECONDS;
      await stream.readFresh(clock.monotonicNow() + period);
    }
    this.applyStream();
  }

  private applyStream(): void {
    const {stream} = this.options;
    // Before the tail is reached the state is that of some earlier version.
    if (!stream.isCaughtUp()) return;
    const {version, items} = stream.state();
    if (this.inForce && version <= this.inForce.version) return;
    this.apply({version, state: toState(items)}, 'log');
  }

  private apply(
    {version, state}: VersionedConfiguration,
    source: string,
  ): void {
    if (this.inForce && version <= this.inForce.version) return;
    this.inForce = {version, state};
    this.lagDeadline = undefined;
    const {logger, metrics, timeline} = this.options;
    logger.info('configuration updated', {version, source});
    metrics.gauge('configuration.version', version);
    timeline.record('configuration.applied', {version, source});
    for (const listener of [...this.listeners]) listener(this.inForce);
  }

  private answerFetch(
    atLeast: number,
  ): Either<TypedError, VersionedConfiguration> {
    if (!this.inForce) {
      return Left(UnavailableError.create('no configuration is in force yet'));
    }
    if (this.inForce.version < atLeast) {
      const {version} = this.inForce;
      const message = `version ${version} is lower than ${atLeast}`;
      return Left(RefusedError.create(message, {version}));
    }
    return Right(this.inForce);
  }

  private async compareWithPeers(): Promise<void> {
    const candidates = this.peersAhead();
    if (candidates.length === 0) {
      this.lagDeadline = undefined;
      return;
    }
    const now = this.options.clock.monotonicNow();
    this.lagDeadline ??= now + MAXIMUM_LAG_MILLISECONDS;
    if (this.inForce && now < this.lagDeadline) return;
    for (const {peer, version} of candidates) {
      if (await this.fetchFrom(peer, version)) return;
    }
  }

  /** Live peers with a higher version, the highest first. */
  private peersAhead(): Array<{peer: string; version: number}> {
    const {network} = this.options;
    const ownVersion = this.inForce?.version ?? NO_VERSION - 1;
    return network
      .livePeers()
      .flatMap(peer => {
        const version = network.latest(peer, configurationSection)?.value
          .version;
        return version == null || version <= ownVersion
          ? []
          : [{peer, version}];
      })
      .sort((first, second) => second.version - first.version);
  }

  private async fetchFrom(peer: string, version: number): Promise<boolean> {
    const {network, clock, logger, metrics} = this.options;
    const answer = await network.call(
      peer,
      configurationFetch,
      {atLeast: version},
      clock.monotonicNow() + FETCH_TIMEOUT_MILLISECONDS,
    );
    return answer.caseOf({
      Left: error => {
        logger.warn('configuration not fetched', {peer, error});
        return false;
      },
      Right: fetched => {
        metrics.increment('configuration.fetched');
        const state = withDictionaries(fetched.state);
        this.apply({version: fetched.version, state}, peer);
        return true;
      },
    });
  }
}

function refused(reason: Refusal): PublishOutcome {
  return {outcome: 'refused', reason};
}

function outcomeOfVerdict(verdict: Verdict): PublishOutcome {
  return verdict.outcome === 'refused'
    ? refused(verdict.reason)
    : {outcome: 'accepted', version: verdict.offset};
}

function unknown(message: string, publication: string): PublishOutcome {
  const search = `look for publication ${publication} among the verdicts`;
  return {
    outcome: 'unknown',
    message,
    findOut: `${search} once the log can be read, or publish the same change on the same base again: if the first one was accepted, the second is refused and names it as the winner`,
  };
}

function outcomeOfFailure(
  error: TypedError,
  publication: string,
): PublishOutcome {
  if (error.code === 'uncertain') return unknown(error.message, publication);
  const code = error.code === 'invalid-input' ? 'malformed' : 'unavailable';
  return refused({code, message: error.message});
}
