import type {Clock} from '@cardamomfield/clock';
import type {TypedError} from '@cardamomfield/errors';
import type {KeyRegistration} from '@cardamomfield/peer-protocol';
import type {Either} from 'purify-ts';
import {KeyPartitions} from './key_partitions.js';
import type {KeyRegistrarClient} from './key_registrar_client.js';
import type {RegistrationStanding} from './registration_standing.js';
import type {RequestRecord} from './request_record.js';

/** How long the registrar keeps a key after the request's deadline. */
const RETENTION_MILLISECONDS = 24 * 60 * 60 * 1_000;

/** Nobody is taken for dead within this time of a registration. */
const FRESH_MILLISECONDS = 1_000;

/** Time to confirm a registration before another attempt. */
const CONFIRM_MILLISECONDS = 10_000;

interface KeyClaimsOptions {
  self: string;
  incarnation: string;
  clock: Clock;
  registrar: KeyRegistrarClient;
}

/** The keys that this process has registered for its requests. */
export class KeyClaims {
  /** Registered requests with the epoch of the registrar that decided. */
  private readonly claims = new Map<
    string,
    {record: RequestRecord; epoch: number; confirmedAt: number}
  >();

  private constructor(private readonly options: KeyClaimsOptions) {}

  static create(options: KeyClaimsOptions): KeyClaims {
    return new KeyClaims(options);
  }

  /**
   * The winning registration of the request's key. `replaces` names the
   * incarnation of a dead coordinator that this process takes over from.
   */
  async register(
    record: RequestRecord,
    deadline: number,
    replaces?: string,
  ): Promise<Either<TypedError, KeyRegistration>> {
    const registration = {
      ...this.describe(record),
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
   * Whether this process still has the key. A first attempt asks only when
   * the partition has changed hands since the registration; a later one
   * always does, since the process may have been taken for dead meanwhile.
   */
  async confirm(
    record: RequestRecord,
    isFirst: boolean,
  ): Promise<RegistrationStanding> {
    const {clock, registrar} = this.options;
    const claim = this.claims.get(record.key);
    if (!claim) return 'own';
    const isSameRegistrar = registrar.epochOf(record.key) === claim.epoch;
    const isFresh =
      clock.monotonicNow() < claim.confirmedAt + FRESH_MILLISECONDS;
    if (isFirst && isFresh && isSameRegistrar) return 'own';
    const deadline = clock.monotonicNow() + CONFIRM_MILLISECONDS;
    const answer = await this.register(record, deadline);
    return answer.caseOf({
      Left: () => 'unavailable',
      Right: winner => (this.isOwn(winner) ? 'own' : 'lost'),
    });
  }

  forget(key: string): void {
    this.claims.delete(key);
  }

  isOwn(registration: KeyRegistration): boolean {
    const {self, incarnation} = this.options;
    return (
      registration.coordinator === self &&
      registration.coordinatorIncarnation === incarnation
    );
  }

  /** Registrations of one partition, for its new registrar. */
  list(partition: string): KeyRegistration[] {
    const registrations: KeyRegistration[] = [];
    for (const {record} of this.claims.values()) {
      if (KeyPartitions.of(record.key) !== partition) continue;
      registrations.push(this.describe(record));
    }
    return registrations;
  }

  private describe(record: RequestRecord): KeyRegistration {
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
