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

/** Time for a peer to accept a backup or a request. */
const CALL_TIMEOUT_MILLISECONDS = 2_000;

/** A coordinator that is not live for this long is declared dead. */
const ADOPTION_SILENCE_MILLISECONDS = 5_000;

/** Period of the check for dead coordinators and lost backup peers. */
const CHECK_PERIOD_MILLISECONDS = 1_000;

/** A longer time between two checks means that the process was paused. */
const PAUSE_THRESHOLD_MILLISECONDS = 3_000;

interface Backup {
  state: RequestState;
  coordinator: string;
  incarnation: string;
  /** Monotonic instant at which the coordinator was last live. */
  lastLiveAt: number;
}

interface RequestBackupsOptions {
  network: PeerNetwork;
  clock: Clock;
  logger: Logger;
  /** Incarnation of a peer according to its last heartbeat. */
  incarnationOf: (peer: string) => string | undefined;
  /** Checks whether this process still coordinates a request. */
  reconfirm: (record: RequestRecord) => Promise<void>;
  /**
   * Continues a request of another coordinator. Returns false when that failed
   * and should be repeated.
   */
  adopt: (state: RequestState, replaces: string) => Promise<boolean>;
}

/**
 * Lets long requests survive their coordinator. Each has a backup copy on a
 * peer, which adopts the request when the coordinator dies.
 */
export class RequestBackups {
  /** Copies held for other coordinators, by request key. */
  private readonly copies = new Map<string, Backup>();
  /** Requests of this process, with the peer that holds the copy. */
  private readonly backupPeers = new Map<RequestRecord, string>();
  private readonly active = new Set<RequestRecord>();
  private checkedAt = 0;
  private isIsolated = false;

  private constructor(private readonly options: RequestBackupsOptions) {}

  static create(options: RequestBackupsOptions): RequestBackups {
    const backups = new RequestBackups(options);
    backups.registerHandlers();
    return backups;
  }

  /** Whether the request gets a backup: only long, idempotent ones do. */
  static needsBackup(record: RequestRecord): boolean {
    const {kind, idempotent} = record.submission;
    return idempotent && kind !== 'interactive' && kind !== 'urgent';
  }

  /** Sends each change of a request to its backup peer until it ends. */
  async maintain(record: RequestRecord): Promise<void> {
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

  /** Adopts requests of dead coordinators until the signal aborts. */
  async run(signal: AbortSignal): Promise<void> {
    const {clock} = this.options;
    while (!signal.aborted) {
      if (this.wasUnreachable()) this.reconfirmAll();
      for (const record of this.active) this.checkBackupPeer(record);
      for (const [key, backup] of [...this.copies]) {
        await this.checkCoordinator(key, backup);
      }
      const deadline = clock.monotonicNow() + CHECK_PERIOD_MILLISECONDS;
      await clock.sleepUntil(deadline, signal);
    }
  }

  /** Hands a request over. Returns whether a peer accepted it. */
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
        record.notifyChange();
        return true;
      }
    }
    record.isHandedOver = false;
    record.notifyChange();
    return false;
  }

  private registerHandlers(): void {
    const {network, clock} = this.options;
    network.handle(BACKUP_REQUEST, async (peer, {key, state}) => {
      if (!state) this.copies.delete(key);
      else {
        this.copies.set(key, {
          state,
          coordinator: peer.name,
          incarnation: peer.incarnation,
          lastLiveAt: clock.monotonicNow(),
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
   * Whether this process was paused or isolated since the last check. A peer
   * may then have declared it dead and adopted its requests.
   */
  private wasUnreachable(): boolean {
    const {clock, network} = this.options;
    const now = clock.monotonicNow();
    const wasPaused = now > this.checkedAt + PAUSE_THRESHOLD_MILLISECONDS;
    const isIsolated = network.livePeers().length === 0;
    const wasIsolated = this.isIsolated;
    this.checkedAt = now;
    this.isIsolated = isIsolated;
    return wasPaused || (wasIsolated && !isIsolated);
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
    if (answer.isRight()) this.backupPeers.set(record, peer);
  }

  private async drop(record: RequestRecord): Promise<void> {
    const {network, clock} = this.options;
    const peer = this.backupPeers.get(record);
    this.backupPeers.delete(record);
    if (peer === undefined || record.isHandedOver) return;
    const deadline = clock.monotonicNow() + CALL_TIMEOUT_MILLISECONDS;
    await network.call(peer, BACKUP_REQUEST, {key: record.key}, deadline);
  }

  /** Sends the copy to a live peer when none is known to hold it. */
  private checkBackupPeer(record: RequestRecord): void {
    const peer = this.backupPeers.get(record);
    if (peer !== undefined && this.options.network.livePeers().includes(peer)) {
      return;
    }
    this.backupPeers.delete(record);
    if (this.options.network.livePeers().length > 0) void this.send(record);
  }

  private async checkCoordinator(key: string, backup: Backup): Promise<void> {
    const {network, clock, incarnationOf, adopt, logger} = this.options;
    const {coordinator, incarnation} = backup;
    const isCoordinatorLive =
      network.livePeers().includes(coordinator) &&
      incarnationOf(coordinator) === incarnation;
    const now = clock.monotonicNow();
    if (isCoordinatorLive) {
      backup.lastLiveAt = now;
      return;
    }
    if (now < backup.lastLiveAt + ADOPTION_SILENCE_MILLISECONDS) return;
    logger.info('adopting a request of a dead coordinator', {key, coordinator});
    const isDone = await adopt(backup.state, incarnation);
    if (isDone && this.copies.get(key) === backup) this.copies.delete(key);
  }
}
