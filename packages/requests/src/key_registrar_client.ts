import type {Clock} from '@cardamomfield/clock';
import {DeadlineExceededError, type TypedError} from '@cardamomfield/errors';
import {
  type KeyRegistration,
  type PeerNetwork,
  REGISTER_KEY,
} from '@cardamomfield/peer-protocol';
import {type Either, Left} from 'purify-ts';
import {KeyPartitions} from './key_partitions.js';
import type {OwnershipView} from './ownership_view.js';

/** Timeout of one call to the registrar. */
const CALL_TIMEOUT_MILLISECONDS = 1_000;

/** Pause between calls, for example while the partition changes owner. */
const RETRY_PAUSE_MILLISECONDS = 100;

interface KeyRegistrarClientOptions {
  network: PeerNetwork;
  ownership: OwnershipView;
  clock: Clock;
}

/** Registers each key with the host that owns its partition. */
export class KeyRegistrarClient {
  private constructor(private readonly options: KeyRegistrarClientOptions) {}

  static create(options: KeyRegistrarClientOptions): KeyRegistrarClient {
    return new KeyRegistrarClient(options);
  }

  /**
   * Returns the winning registration of the key. Registration is idempotent,
   * so failed calls are retried until the monotonic deadline.
   */
  async register(
    registration: KeyRegistration,
    deadline: number,
  ): Promise<Either<TypedError, {winner: KeyRegistration; epoch: number}>> {
    const {clock} = this.options;
    let failure: TypedError = DeadlineExceededError.create(
      'the deadline passed before the key could be registered',
    );
    while (clock.monotonicNow() < deadline) {
      const answer = await this.callOwner(registration, deadline);
      if (answer?.isRight()) return answer;
      answer?.ifLeft(error => {
        failure = error;
      });
      const pause = clock.monotonicNow() + RETRY_PAUSE_MILLISECONDS;
      await clock.sleepUntil(Math.min(pause, deadline));
    }
    return Left(failure);
  }

  /** Epoch of the partition's latest claim. */
  epochOf(key: string): number | undefined {
    return this.options.ownership.ownerOf(KeyPartitions.of(key))?.epoch;
  }

  private async callOwner(
    registration: KeyRegistration,
    deadline: number,
  ): Promise<
    Either<TypedError, {winner: KeyRegistration; epoch: number}> | undefined
  > {
    const {network, ownership, clock} = this.options;
    const owner = ownership.ownerOf(KeyPartitions.of(registration.key));
    if (!owner) return undefined;
    const callDeadline = Math.min(
      deadline,
      clock.monotonicNow() + CALL_TIMEOUT_MILLISECONDS,
    );
    return network.call(
      owner.process,
      REGISTER_KEY,
      registration,
      callDeadline,
    );
  }
}
