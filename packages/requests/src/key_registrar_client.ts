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

/** Time for one try to reach the registrar. */
const TRY_TIMEOUT_MILLISECONDS = 1_000;

/** Pause between tries while the partition changes hands. */
const RETRY_PAUSE_MILLISECONDS = 100;

interface KeyRegistrarClientOptions {
  network: PeerNetwork;
  ownership: OwnershipView;
  clock: Clock;
}

/** Registers keys with whichever host owns their partition. */
export class KeyRegistrarClient {
  private constructor(private readonly options: KeyRegistrarClientOptions) {}

  static create(options: KeyRegistrarClientOptions): KeyRegistrarClient {
    return new KeyRegistrarClient(options);
  }

  /**
   * The winning registration of the key. Repeating a call is harmless, so it
   * retries until the monotonic deadline.
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
      const answer = await this.tryOnce(registration, deadline);
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

  private async tryOnce(
    registration: KeyRegistration,
    deadline: number,
  ): Promise<
    Either<TypedError, {winner: KeyRegistration; epoch: number}> | undefined
  > {
    const {network, ownership, clock} = this.options;
    const owner = ownership.ownerOf(KeyPartitions.of(registration.key));
    if (!owner) return undefined;
    const tryDeadline = Math.min(
      deadline,
      clock.monotonicNow() + TRY_TIMEOUT_MILLISECONDS,
    );
    return network.call(owner.process, REGISTER_KEY, registration, tryDeadline);
  }
}
