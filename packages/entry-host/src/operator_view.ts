import type {OperatorService} from '@cardamomfield/caller-api';
import type {Clock} from '@cardamomfield/clock';
import {
  type Configuration,
  ConfigurationRecord,
} from '@cardamomfield/configuration';
import {
  ConflictError,
  InvalidInputError,
  type TypedError,
  UnavailableError,
  UncertainError,
} from '@cardamomfield/errors';
import type {GroupOwner} from '@cardamomfield/group-owner';
import type {OwnershipManager} from '@cardamomfield/ownership';
import type {RequestCoordinator} from '@cardamomfield/requests';
import type {Timeline} from '@cardamomfield/timeline';
import {type Either, Left, Right} from 'purify-ts';
import {z} from 'zod';

/** Time limit for a change to reach the log and be accepted or refused. */
const PUBLISH_TIMEOUT_MILLISECONDS = 10_000;

const RESET_EDITOR = 'operator';

interface OperatorViewOptions {
  name: string;
  region: string;
  availabilityZone: string;
  clock: Clock;
  configuration: Configuration;
  ownership: OwnershipManager;
  owner: GroupOwner;
  requests: RequestCoordinator;
  timeline: Timeline;
  peers: () => readonly string[];
  /** Bytes and messages exchanged with peers. */
  traffic: () => unknown;
}

/** Serves operator queries from the components of this entry host. */
export class OperatorView implements OperatorService {
  private isStopping = false;

  private constructor(private readonly options: OperatorViewOptions) {}

  static create(options: OperatorViewOptions): OperatorView {
    return new OperatorView(options);
  }

  /**
   * Makes the readiness check fail, so that the load balancer stops sending
   * requests here.
   */
  stop(): void {
    this.isStopping = true;
  }

  status(): unknown {
    const {name, region, availabilityZone, configuration} = this.options;
    const {ownership, owner, requests, peers} = this.options;
    return {
      process: name,
      region,
      availabilityZone,
      isStopping: this.isStopping,
      configurationVersion: configuration.current()?.version ?? null,
      peers: peers(),
      traffic: this.options.traffic(),
      ownership: ownership.status(),
      unfinishedRequests: requests.countUnfinished(),
      summary: owner.summary(),
      workers: owner.status(),
    };
  }

  timeline(): unknown {
    return this.options.timeline.events();
  }

  configuration(): Either<TypedError, unknown> {
    const current = this.options.configuration.current();
    if (current) return Right(current);
    const message = 'this entry host has no configuration yet';
    return Left(UnavailableError.create(message));
  }

  async publish(body: unknown): Promise<Either<TypedError, unknown>> {
    const parsed = ConfigurationRecord.safeParse(body);
    if (!parsed.success) {
      return Left(InvalidInputError.create(z.prettifyError(parsed.error)));
    }
    const {change, ...options} = parsed.data;
    const {clock, configuration} = this.options;
    const deadline = clock.monotonicNow() + PUBLISH_TIMEOUT_MILLISECONDS;
    const published = await configuration.publish(
      change,
      omitUndefinedPublication(options),
      deadline,
    );
    switch (published.outcome) {
      case 'accepted':
        return Right(published);
      case 'refused':
        return Left(
          ConflictError.create(published.reason.message, {...published.reason}),
        );
      case 'unknown':
        return Left(
          UncertainError.create(published.message, {
            findOut: published.findOut,
          }),
        );
    }
  }

  voters(): unknown {
    return this.options.ownership.voters();
  }

  async resetVoters(
    names: readonly string[],
  ): Promise<Either<TypedError, unknown>> {
    const {clock, ownership} = this.options;
    const deadline = clock.monotonicNow() + PUBLISH_TIMEOUT_MILLISECONDS;
    const reset = await ownership.resetVoters(names, RESET_EDITOR, deadline);
    return reset.map(offset => ({offset}));
  }

  readiness(): Either<TypedError, void> {
    const {configuration, ownership} = this.options;
    if (this.isStopping) return notReady('it is shutting down');
    if (!configuration.isReady()) return notReady('it has no configuration');
    if (!ownership.isReady()) return notReady('it is not a voter yet');
    return Right(undefined);
  }
}

function notReady(reason: string): Either<TypedError, void> {
  return Left(UnavailableError.create(`not ready: ${reason}`));
}

function omitUndefinedPublication<
  Value extends {publication?: string | undefined},
>(options: Value): Omit<Value, 'publication'> & {publication?: string} {
  const {publication, ...rest} = options;
  return publication === undefined ? rest : {...rest, publication};
}
