import type {Clock} from '@cardamomfield/clock';
import type {TypedError} from '@cardamomfield/errors';
import type {KeyRegistration} from '@cardamomfield/peer-protocol';
import type {Either} from 'purify-ts';
import {KeyPartitions} from './key_partitions.js';
import type {KeyRegistrarClient} from './key_registrar_client.js';
import type {RegistrationStatus} from './registration_status.js';
import type {RequestRecord} from './request_record.js';

/** How long the registrar keeps a key after the request's deadline. */
const RETENTION_MILLISECONDS = 24 * 60 * 60 * 1_000;

/**
 * Time for which a registration needs no new confirmation. It is shorter than
 * the silence after which a peer declares this process dead and adopts its
 * requests.
 */
const CONFIRMATION_VALIDITY_MILLISECONDS = 1_000;

/** Time limit for confirming a registration. */
const CONFIRM_TIMEOUT_MILLISECONDS = 10_000;

interface KeyClaimsOptions {
  self: string;
  incarnation: string;
  clock: Clock;
  registrar: KeyRegistrarClient;
}

/** The keys that this process has registered for its requests. */
export class KeyClaims {
  /** Registered requests, with the epoch of the deciding registrar. */
  private readonly claims = new Map<
    string,
    {record: RequestRecord; epoch: number; confirmedAt: number}
  >();

  private constructor(private readonly options: KeyClaimsOptions) {}

  static create(options: KeyClaimsOptions): KeyClaims {
    return new KeyClaims(options);
  }

  /**
   * Returns the winning registration of the request's key. `replaces` names
   * the incarnation of a dead coordinator whose registration is replaced.
   */
  async register(
    record: RequestRecord,
    deadline: number,
    replaces?: string,
  ): Promise<Either<TypedError, KeyRegistration>> {
    const registration = {
      ...this.createRegistration(record),
      ...(replaces === undefined ? {} : {replaces}),
    };
    const confirmedAt = this.options.clock.monotonicNow();
    const answer = await this.options.registrar.register(
      registration,
      deadline,
    );
    return answer.map(({winner, epoch}) => {
      const claim = {record, epoch, confirmedAt};
      if (this.isOwn(winner)) this.claims.set(record.key, claim);
      return winner;
    });
  }

  /**
   * Checks whether this process still holds the key. The first attempt asks
   * the registrar only when the registration is no longer fresh or the
   * partition has a new owner. Later attempts always ask, because peers may
   * have declared this process dead meanwhile.
   */
  async confirm(
    record: RequestRecord,
    isFirst: boolean,
  ): Promise<RegistrationStatus> {
    const {clock, registrar} = this.options;
    const claim = this.claims.get(record.key);
    if (!claim) return 'own';
    const isSameRegistrar = registrar.epochOf(record.key) === claim.epoch;
    const isFresh =
      clock.monotonicNow() <
      claim.confirmedAt + CONFIRMATION_VALIDITY_MILLISECONDS;
    if (isFirst && isFresh && isSameRegistrar) return 'own';
    const deadline = clock.monotonicNow() + CONFIRM_TIMEOUT_MILLISECONDS;
    const answer = await this.register(record, deadline);
    return answer.caseOf({
      Left: () => 'unavailable',
      Right: winner => (this.isOwn(winner) ? 'own' : 'lost'),
    });
  }

  remove(key: string): void {
    this.claims.delete(key);
  }

  isOwn(registration: KeyRegistration): boolean {
    const {self, incarnation} = this.options;
    return (
      registration.coordinator === self &&
      registration.coordinatorIncarnation === incarnation
    );
  }

  /** Registrations of one partition, for the partition's new registrar. */
  list(partition: string): KeyRegistration[] {
    const registrations: KeyRegistration[] = [];
    for (const {record} of this.claims.values()) {
      if (KeyPartitions.of(record.key) !== partition) continue;
      registrations.push(this.createRegistration(record));
    }
    return registrations;
  }

  private createRegistration(record: RequestRecord): KeyRegistration {
    const {self, incarnation, clock} = this.options;
    const {deadline} = record.submission;
    return {
      key: record.key,
      bodyHash: record.bodyHash,
      coordinator: self,
      coordinatorIncarnation: incarnation,
      expiresAt: Math.max(clock.wallNow(), deadline) + RETENTION_MILLISECONDS,
    };
  }
}
