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
const COMPARE_PERIOD_MILLISECONDS = 500;

/**
 * A process that is behind a peer for this long, although it follows the log,
 * takes the configuration from that peer.
 */
const BEHIND_PERIOD_MILLISECONDS = 1_000;

/** Longest wait for one answer of a peer. */
const FETCH_PERIOD_MILLISECONDS = 2_000;

const DEFAULT_LOG_CALL_MILLISECONDS = 2_000;

interface ConfigurationOptions {
  stream: FollowedStream<ConfigurationHistory>;
  network: PeerNetwork;
  clock: Clock;
  logger: Logger;
  metrics: Metrics;
  timeline: Timeline;
  /**
   * Longest wait for the tail while starting. It should exceed two heartbeat
   * periods, so that all peers have told their versions when it ends.
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
 * The configuration in force in this process. Its version only rises: it
 * comes from the log once the tail has been read, or from the peer with the
 * highest version while the log can't be read.
 */
export class Configuration {
  private inForce: VersionedConfiguration | undefined;
  private readonly listeners = new Set<Listener>();
  private behindDeadline: number | undefined;
  private publicationCount = 0;

  private constructor(private readonly options: ConfigurationOptions) {}

  /** Registers with the stream and the peers; `run` does the rest. */
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

  /** Whether the process may serve. */
  isReady(): boolean {
    return this.inForce !== undefined;
  }

  /** Calls the listener after each change; returns an unsubscriber. */
  onChange(listener: Listener): () => void {
    this.listeners.add(listener);
    return () => this.listeners.delete(listener);
  }

  /** Catches up, and then compares with the peers, until the signal aborts. */
  async run(signal: AbortSignal): Promise<void> {
    const {clock} = this.options;
    while (!signal.aborted) {
      await this.catchUp();
      await this.compareWithPeers();
      const next = clock.monotonicNow() + COMPARE_PERIOD_MILLISECONDS;
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
    const publication = options.publication ?? this.createPublication();
    const record = {...options, publication, change};
    const parsed = ConfigurationRecord.safeParse(record);
    if (!parsed.success) {
      const message = z.prettifyError(parsed.error);
      return refused({code: 'malformed', message});
    }
    const {stream} = this.options;
    const from = stream.nextOffset();
    const appended = await stream.append(parsed.data, deadline);
    const isOwn = (verdict: Verdict) =>
      appended.isRight()
        ? verdict.offset === appended.extract()
        : verdict.offset >= from && verdict.publication === publication;
    // A snapshot can bring the verdict of a record that was not read itself,
    // so the verdicts decide even when the append seems to have failed.
    const verdict = this.verdicts().find(isOwn);
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

  /** The verdict on a publication, when it is among the latest ones. */
  findVerdict(publication: string): Verdict | undefined {
    return this.verdicts().find(verdict => verdict.publication === publication);
  }

  /** A name that no other publication of the kept verdicts has. */
  private createPublication(): string {
    const {network, clock} = this.options;
    this.publicationCount += 1;
    return `${network.self}.${clock.wallNow()}.${this.publicationCount}`;
  }

  private async catchUp(): Promise<void> {
    const {stream, clock, logCallMilliseconds} = this.options;
    if (!stream.isCaughtUp()) {
      const period = logCallMilliseconds ?? DEFAULT_LOG_CALL_MILLISECONDS;
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
    this.behindDeadline = undefined;
    const {logger, metrics, timeline} = this.options;
    logger.info('configuration in force', {version, source});
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
      this.behindDeadline = undefined;
      return;
    }
    const now = this.options.clock.monotonicNow();
    this.behindDeadline ??= now + BEHIND_PERIOD_MILLISECONDS;
    if (this.inForce && now < this.behindDeadline) return;
    for (const {peer, version} of candidates) {
      if (await this.fetchFrom(peer, version)) return;
    }
  }

  /** Live peers with a higher version, the highest first. */
  private peersAhead(): Array<{peer: string; version: number}> {
    const {network} = this.options;
    const own = this.inForce?.version ?? NO_VERSION - 1;
    return network
      .livePeers()
      .flatMap(peer => {
        const version = network.latest(peer, configurationSection)?.value
          .version;
        return version == null || version <= own ? [] : [{peer, version}];
      })
      .sort((first, second) => second.version - first.version);
  }

  private async fetchFrom(peer: string, version: number): Promise<boolean> {
    const {network, clock, logger, metrics} = this.options;
    const answer = await network.call(
      peer,
      configurationFetch,
      {atLeast: version},
      clock.monotonicNow() + FETCH_PERIOD_MILLISECONDS,
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
