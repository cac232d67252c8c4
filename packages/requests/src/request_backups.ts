import type {Clock} from '@cardamomfield/clock';
import type {Logger} from '@cardamomfield/logger';
import {
  ADOPT_REQUEST,
  BACKUP_REQUEST,
  type PeerNetwork,
  type RequestState,
} from '@cardamomfield/peer-protocol';
import {Right} from 'purify-ts';
import type {RequestRecord} from './request_record.js';

/** Time for a peer to take a backup or a request. */
const CALL_TIMEOUT_MILLISECONDS = 2_000;

/** A coordinator that is not heard for this long is taken for dead. */
const ADOPTION_SILENCE_MILLISECONDS = 5_000;

/** Period of the check for dead coordinators and changed backup hosts. */
const CHECK_MILLISECONDS = 1_000;

/** A longer time between two checks means that the process was paused. */
const MAXIMUM_GAP_MILLISECONDS = 3_000;

interface Backup {
  state: RequestState;
  coordinator: string;
  incarnation: string;
  /** Monotonic instant of the last sign of life. */
  heardAt: number;
}

interface RequestBackupsOptions {
  network: PeerNetwork;
  clock: Clock;
  logger: Logger;
  /** The incarnation of a peer as last heard. */
  incarnationOf: (peer: string) => string | undefined;
  /** Finds out whether this process still coordinates a request. */
  reconfirm: (record: RequestRecord) => Promise<void>;
  /** Goes on with a request; false when that failed and should be repeated. */
  adopt: (state: RequestState, replaces: string) => Promise<boolean>;
}

/**
 * Long requests outlive their coordinator: each has a copy on a peer, which
 * goes on with it when the coordinator dies.
 */
export class RequestBackups {
  private readonly held = new Map<string, Backup>();
  /** Requests of this process with the peer that has the copy. */
  private readonly sent = new Map<RequestRecord, string>();
  private readonly active = new Set<RequestRecord>();
  private checkedAt = 0;
  private isAlone = false;

  private constructor(private readonly options: RequestBackupsOptions) {}

  static create(options: RequestBackupsOptions): RequestBackups {
    const backups = new RequestBackups(options);
    backups.registerHandlers();
    return backups;
  }

  /** Whether the request is of a kind that is worth a copy. */
  static isWanted(record: RequestRecord): boolean {
    const {kind, idempotent} = record.submission;
    return idempotent && kind !== 'interactive' && kind !== 'urgent';
  }

  /** Keeps the copy of a request current until it has its answer. */
  async keep(record: RequestRecord): Promise<void> {
    this.active.add(record);
    while (!record.answer && !record.isHandedOver) {
      const revision = record.view().revision;
      await this.send(record);
      if (record.view().revision !== revision) continue;
      await record.waitForChange();
    }
    this.active.delete(record);
    await this.drop(record);
  }

  /** Adopts the requests of dead coordinators, until the signal aborts. */
  async run(signal: AbortSignal): Promise<void> {
    const {clock} = this.options;
    while (!signal.aborted) {
      if (this.wasAway()) this.reconfirmAll();
      for (const record of this.active) this.checkHost(record);
      for (const [key, backup] of [...this.held]) {
        await this.check(key, backup);
      }
      const deadline = clock.monotonicNow() + CHECK_MILLISECONDS;
      await clock.sleepUntil(deadline, signal);
    }
  }

  /** Hands a request to a peer; true once the peer goes on with it. */
  async handOver(record: RequestRecord, incarnation: string): Promise<boolean> {
    const {network, clock} = this.options;
    for (const peer of network.livePeers()) {
      record.isHandedOver = true;
      const deadline = clock.monotonicNow() + CALL_TIMEOUT_MILLISECONDS;
      const answer = await network.call(
        peer,
        ADOPT_REQUEST,
        {state: record.toState(), incarnation},
        deadline,
      );
      if (answer.isRight()) {
        record.changed();
        return true;
      }
    }
    record.isHandedOver = false;
    record.changed();
    return false;
  }

  private registerHandlers(): void {
    const {network, clock} = this.options;
    network.handle(BACKUP_REQUEST, async (peer, {key, state}) => {
      if (!state) this.held.delete(key);
      else {
        this.held.set(key, {
          state,
          coordinator: peer.name,
          incarnation: peer.incarnation,
          heardAt: clock.monotonicNow(),
        });
      }
      return Right({});
    });
    network.handle(ADOPT_REQUEST, async (_peer, {state, incarnation}) => {
      void this.options.adopt(state, incarnation);
      return Right({});
    });
  }

  /**
   * Whether this process was paused or cut off since the last check, so that
   * a peer may have taken it for dead and adopted its requests.
   */
  private wasAway(): boolean {
    const {clock, network} = this.options;
    const now = clock.monotonicNow();
    const wasPaused = now > this.checkedAt + MAXIMUM_GAP_MILLISECONDS;
    const isAlone = network.livePeers().length === 0;
    const wasAlone = this.isAlone;
    this.checkedAt = now;
    this.isAlone = isAlone;
    return wasPaused || (wasAlone && !isAlone);
  }

  private reconfirmAll(): void {
    for (const record of this.active) void this.options.reconfirm(record);
  }

  private async send(record: RequestRecord): Promise<void> {
    const {network, clock} = this.options;
    const [peer] = network.livePeers();
    if (peer === undefined) return;
    const deadline = clock.monotonicNow() + CALL_TIMEOUT_MILLISECONDS;
    const {key} = record;
    const state = record.toState();
    const answer = await network.call(
      peer,
      BACKUP_REQUEST,
      {key, state},
      deadline,
    );
    if (answer.isRight()) this.sent.set(record, peer);
  }

  private async drop(record: RequestRecord): Promise<void> {
    const {network, clock} = this.options;
    const peer = this.sent.get(record);
    this.sent.delete(record);
    if (peer === undefined || record.isHandedOver) return;
    const deadline = clock.monotonicNow() + CALL_TIMEOUT_MILLISECONDS;
    await network.call(peer, BACKUP_REQUEST, {key: record.key}, deadline);
  }

  /** Sends a new copy when the peer that had it is gone. */
  private checkHost(record: RequestRecord): void {
    const peer = this.sent.get(record);
    if (peer !== undefined && this.options.network.livePeers().includes(peer)) {
      return;
    }
    this.sent.delete(record);
    if (this.options.network.livePeers().length > 0) void this.send(record);
  }

  private async check(key: string, backup: Backup): Promise<void> {
    const {network, clock, incarnationOf, adopt, logger} = this.options;
    const {coordinator, incarnation} = backup;
    const isThere =
      network.livePeers().includes(coordinator) &&
      incarnationOf(coordinator) === incarnation;
    const now = clock.monotonicNow();
    if (isThere) {
      backup.heardAt = now;
      return;
    }
    if (now < backup.heardAt + ADOPTION_SILENCE_MILLISECONDS) return;
    logger.info('adopting a request of a dead coordinator', {key, coordinator});
    const isDone = await adopt(backup.state, incarnation);
    if (isDone && this.held.get(key) === backup) this.held.delete(key);
  }
}
