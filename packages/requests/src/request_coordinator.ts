import type {Clock} from '@cardamomfield/clock';
import {
  ConflictError,
  NotFoundError,
  type TypedError,
  UnavailableError,
} from '@cardamomfield/errors';
import type {Logger} from '@cardamomfield/logger';
import type {Metrics} from '@cardamomfield/metrics';
import {
  type KeyRegistration,
  LIST_KEYS,
  PERMIT_DISPATCH,
  type PeerNetwork,
  type RequestState,
  type RequestView,
  SHOW_REQUEST,
  CANCEL_REQUEST,
  type TaskUpdate,
  UPDATE_TASKS,
} from '@cardamomfield/peer-protocol';
import type {RetryBudget} from '@cardamomfield/retries';
import type {Timeline} from '@cardamomfield/timeline';
import type {FinalAnswer, Submission} from '@cardamomfield/types';
import {type Either, Left, Right} from 'purify-ts';
import {hashBody} from './hash_body.js';
import type {IntentJournal} from './intent_journal.js';
import {KeyClaims} from './key_claims.js';
import type {KeyRegistrarClient} from './key_registrar_client.js';
import {OrphanLookup} from './orphan_lookup.js';
import type {OwnerChooser} from './owner_chooser.js';
import {RemoteRequests} from './remote_requests.js';
import {RequestBackups} from './request_backups.js';
import {RequestRecord} from './request_record.js';
import {RequestRun} from './request_run.js';
import {RequestStore} from './request_store.js';
import type {SubmissionChecker} from './submission_checker.js';
import type {TaskFinder} from './task_finder.js';
import type {TaskRecord} from './task_record.js';
import {TaskRun} from './task_run.js';

/** Period of the check for owners that appear, disappear or restart. */
const OWNER_CHECK_PERIOD_MILLISECONDS = 250;

/** Pause between look-ups of a request that has no live coordinator. */
const LOOKUP_PAUSE_MILLISECONDS = 500;

/** Time limit for registering a key that another coordinator held. */
const ADOPTION_TIMEOUT_MILLISECONDS = 10_000;

interface RequestCoordinatorOptions {
  self: string;
  incarnation: string;
  network: PeerNetwork;
  clock: Clock;
  logger: Logger;
  metrics: Metrics;
  timeline: Timeline;
  journal: IntentJournal;
  registrar: KeyRegistrarClient;
  chooser: OwnerChooser;
  finder: TaskFinder;
  checker: SubmissionChecker;
  retries: RetryBudget;
  /**
   * Registrations of orphaned tasks on the workers that this process owns, and
   * the worker groups whose task lists it has read.
   */
  listOrphans: (partition: string) => {
    registrations: KeyRegistration[];
    groups: string[];
  };
}

interface WaitOptions {
  afterRevision?: number | undefined;
  /** Wall-clock instant until which the call may wait for a new revision. */
  waitUntil?: number | undefined;
}

/**
 * Accepts requests and holds the authoritative state of each request that
 * this process coordinates.
 */
export class RequestCoordinator {
  private readonly store: RequestStore;
  private readonly claims: KeyClaims;
  private readonly remote: RemoteRequests;
  private readonly orphans: OrphanLookup;
  private readonly backups: RequestBackups;
  private generatedKeyCount = 0;
  private isClosed = false;

  private constructor(private readonly options: RequestCoordinatorOptions) {
    this.claims = KeyClaims.create(options);
    this.store = RequestStore.create({
      ...options,
      onDrop: key => this.claims.remove(key),
    });
    this.remote = RemoteRequests.create(options);
    this.orphans = OrphanLookup.create(options);
    this.backups = RequestBackups.create({
      ...options,
      incarnationOf: peer => options.chooser.incarnationOf(peer),
      reconfirm: record => this.reconfirm(record),
      adopt: (state, replaces) => this.adopt(state, replaces),
    });
  }

  static create(options: RequestCoordinatorOptions): RequestCoordinator {
    const coordinator = new RequestCoordinator(options);
    coordinator.registerHandlers();
    return coordinator;
  }

  /** Watches for lost owners and coordinators until the signal aborts. */
  async run(signal: AbortSignal): Promise<void> {
    await Promise.all([this.watchOwners(signal), this.backups.run(signal)]);
  }

  /** Generates a key that is unique across processes and restarts. */
  generateKey(): string {
    const {self, incarnation} = this.options;
    this.generatedKeyCount += 1;
    return `${self}.${incarnation}.${this.generatedKeyCount}`;
  }

  /**
   * Number of unfinished requests, including those whose answer is still being
   * recorded in the journal.
   */
  countUnfinished(): number {
    return this.store.countUnfinished();
  }

  /** Refuses new requests from now on; requests in flight continue. */
  close(): void {
    this.isClosed = true;
  }

  /**
   * Hands the requests that are eligible for a backup over to peers. All others
   * finish in this process.
   */
  async handOver(): Promise<void> {
    const eligible = this.store.unfinished().filter(RequestBackups.needsBackup);
    await Promise.all(eligible.map(record => this.handOverRequest(record)));
  }

  /**
   * Accepts a request and returns its initial state. For a key that is already
   * in use, returns the state of the earlier request, wherever it runs.
   */
  async submit(
    submission: Submission,
    isKeyFromCaller: boolean,
  ): Promise<Either<TypedError, RequestView>> {
    if (this.isClosed) {
      return Left(UnavailableError.create('this entry host is shutting down'));
    }
    const bodyHash = hashBody(submission);
    const known = this.store.find(submission.key);
    if (known) return this.handleDuplicate(known, bodyHash);
    const checked = this.options.checker.check(submission);
    if (checked.isLeft()) return Left(checked.extract() as TypedError);
    const refusal = checked.extract() as FinalAnswer | undefined;
    const {self, clock} = this.options;
    const record = RequestRecord.create({
      submission,
      bodyHash,
      coordinator: self,
      clock,
    });
    const isRegistered = isKeyFromCaller || RequestBackups.needsBackup(record);
    if (!isRegistered) return Right(this.start(record, refusal));
    return this.registerAndStart(record, refusal);
  }

  /** Returns the state of a request, wherever it runs. */
  async show(
    key: string,
    wait: WaitOptions = {},
  ): Promise<Either<TypedError, RequestView>> {
    const {clock} = this.options;
    for (;;) {
      const shown = await this.showOnce(key, wait);
      const shouldWait = shown.caseOf({
        Left: () => false,
        Right: view => !view.answer && !hasNewRevision(view, wait),
      });
      if (!shouldWait) return shown;
      if (clock.wallNow() >= (wait.waitUntil ?? 0)) return shown;
      // The state may come from a look-up, which can't wait for a change.
      await clock.sleepUntil(clock.monotonicNow() + LOOKUP_PAUSE_MILLISECONDS);
    }
  }

  private async showOnce(
    key: string,
    wait: WaitOptions,
  ): Promise<Either<TypedError, RequestView>> {
    const known = this.store.find(key);
    if (known) {
      const view = await this.showLocal(known, wait);
      if (!known.isHandedOver) return Right(view);
    }
    const remote = await this.remote.show(key, wait);
    if (remote) return Right(remote.view);
    return this.orphans.show(key);
  }

  /** Cancels a request, wherever it runs. Idempotent. */
  async cancel(key: string): Promise<Either<TypedError, RequestView>> {
    const known = this.store.find(key);
    if (known && !known.isHandedOver) return Right(this.cancelLocal(known));
    const remote = await this.remote.cancel(key);
    if (remote) return Right(remote);
    return this.orphans.cancel(key);
  }

  private registerHandlers(): void {
    const {network, listOrphans} = this.options;
    network.handle(UPDATE_TASKS, async (peer, {updates}) => {
      updates.forEach(update => this.applyUpdate(peer, update));
      return Right({});
    });
    network.handle(PERMIT_DISPATCH, async (_peer, {task}) =>
      Right({permitted: this.permitDispatch(task)}),
    );
    network.handle(SHOW_REQUEST, async (_peer, {key, ...wait}) => {
      const record = this.findLocal(key);
      if (!record) return Right({view: null, bodyHash: ''});
      const view = await this.showLocal(record, wait);
      return Right({view, bodyHash: record.bodyHash});
    });
    network.handle(CANCEL_REQUEST, async (_peer, {key}) => {
      const record = this.findLocal(key);
      return Right({view: record ? this.cancelLocal(record) : null});
    });
    network.handle(LIST_KEYS, async (_peer, {partition}) => {
      const orphans = listOrphans(partition);
      const registrations = this.claims.list(partition);
      return Right({
        registrations: [...registrations, ...orphans.registrations],
        groups: orphans.groups,
      });
    });
  }

  private findLocal(key: string): RequestRecord | undefined {
    const record = this.store.find(key);
    return record?.isHandedOver ? undefined : record;
  }

  private handleDuplicate(
    known: RequestRecord,
    bodyHash: string,
  ): Either<TypedError, RequestView> {
    if (known.bodyHash === bodyHash) return Right(known.view());
    return Left(conflict(known.key));
  }

  /**
   * Registers the key before starting the request, because another entry host
   * may already run a request with this key.
   */
  private async registerAndStart(
    record: RequestRecord,
    refusal: FinalAnswer | undefined,
  ): Promise<Either<TypedError, RequestView>> {
    const {clock} = this.options;
    const remaining = record.submission.deadline - clock.wallNow();
    const deadline = clock.monotonicNow() + remaining;
    this.store.add(record);
    const registered = await this.claims.register(record, deadline);
    if (registered.isLeft()) {
      this.store.remove(record);
      return Left(registered.extract() as TypedError);
    }
    const winner = registered.extract() as KeyRegistration;
    if (this.claims.isOwn(winner)) return Right(this.start(record, refusal));
    this.store.remove(record);
    const isSame =
      winner.bodyHash === record.bodyHash || winner.bodyHash === '';
    if (!isSame) return Left(conflict(record.key));
    return this.deferToWinner(record, winner, refusal);
  }

  private async deferToWinner(
    record: RequestRecord,
    winner: KeyRegistration,
    refusal: FinalAnswer | undefined,
  ): Promise<Either<TypedError, RequestView>> {
    const remote = await this.remote.show(record.key, {});
    if (remote) return Right(remote.view);
    const orphan = await this.orphans.show(record.key);
    if (orphan.isRight()) return orphan;
    const isAbsent = orphan.extract() instanceof NotFoundError;
    if (!isAbsent || !record.submission.idempotent) return orphan;
    return this.replaceDeadWinner(record, winner, refusal);
  }

  /** Takes over the key of a request that has no live coordinator or task. */
  private async replaceDeadWinner(
    record: RequestRecord,
    registration: KeyRegistration,
    refusal: FinalAnswer | undefined,
  ): Promise<Either<TypedError, RequestView>> {
    if (this.isLive(registration)) {
      const message = `the coordinator of ${record.key} does not answer`;
      return Left(UnavailableError.create(message));
    }
    const isWon = await this.claimKeyFrom(
      record,
      registration.coordinatorIncarnation,
    );
    if (isWon) return Right(this.start(record, refusal));
    const message = `another entry host takes over ${record.key}`;
    return Left(UnavailableError.create(message));
  }

  /** Registers a request, replacing a dead incarnation's registration. */
  private async claimKeyFrom(
    record: RequestRecord,
    incarnation: string,
  ): Promise<boolean> {
    const {clock} = this.options;
    const deadline = clock.monotonicNow() + ADOPTION_TIMEOUT_MILLISECONDS;
    this.store.add(record);
    const registered = await this.claims.register(
      record,
      deadline,
      incarnation,
    );
    const winner = registered.toMaybe().extract();
    if (winner && this.claims.isOwn(winner)) return true;
    this.store.remove(record);
    return false;
  }

  private isLive(registration: KeyRegistration): boolean {
    const {network, chooser} = this.options;
    const {coordinator, coordinatorIncarnation} = registration;
    if (!network.livePeers().includes(coordinator)) return false;
    return chooser.incarnationOf(coordinator) === coordinatorIncarnation;
  }

  /** Continues a request of another coordinator. */
  private async adopt(state: RequestState, replaces: string): Promise<boolean> {
    const {key} = state.submission;
    if (this.findLocal(key)) return true;
    const {self, clock} = this.options;
    const context = {coordinator: self, clock};
    const record = RequestRecord.fromState(state, context);
    const isWon = await this.claimKeyFrom(record, replaces);
    if (!isWon) return (await this.remote.show(key, {})) !== undefined;
    this.options.timeline.record('request.adopted', {key});
    this.start(record, undefined);
    return true;
  }

  private async handOverRequest(record: RequestRecord): Promise<void> {
    const {incarnation, timeline} = this.options;
    const isTaken = await this.backups.handOver(record, incarnation);
    if (!isTaken) return;
    timeline.record('request.handed-over', {key: record.key});
    this.store.remove(record);
  }

  private start(
    record: RequestRecord,
    refusal: FinalAnswer | undefined,
  ): RequestView {
    const {team, service, kind} = record.submission;
    this.store.add(record);
    this.options.timeline.record('request.accepted', {
      key: record.key,
      team,
      service,
      kind,
    });
    if (refusal) {
      record.answer = refusal;
      this.finish(record);
    } else {
      void this.runToCompletion(record);
    }
    return record.view();
  }

  private async runToCompletion(record: RequestRecord): Promise<void> {
    const run = RequestRun.create(record, {
      ...this.options,
      runTask: (request, task) => this.createTaskRun(request, task).run(),
    });
    if (RequestBackups.needsBackup(record)) void this.backups.maintain(record);
    await run.run();
    if (record.isHandedOver) this.dropHandedOver(record);
    else this.finish(record);
  }

  /**
   * Drops a request that another host now coordinates and forwards a
   * cancellation to that host.
   */
  private dropHandedOver(record: RequestRecord): void {
    this.store.remove(record);
    if (record.isCancelled) void this.remote.cancel(record.key);
  }

  private async reconfirm(record: RequestRecord): Promise<void> {
    const status = await this.claims.confirm(record, false);
    if (status !== 'lost') return;
    record.isHandedOver = true;
    record.notifyChange();
  }

  private createTaskRun(record: RequestRecord, task: TaskRecord): TaskRun {
    return TaskRun.create(record, task, {
      ...this.options,
      confirmRegistration: () =>
        this.claims.confirm(record, task.attempt === 0),
    });
  }

  private finish(record: RequestRecord): void {
    const {metrics, timeline} = this.options;
    const outcome = record.answer?.outcome ?? 'unknown';
    metrics.increment('requests.finished', 1, {outcome});
    timeline.record('request.finished', {key: record.key, outcome});
    this.store.finish(record);
  }

  private applyUpdate(
    owner: {name: string; incarnation: string},
    update: TaskUpdate,
  ): void {
    const record = this.findLocal(update.task.key);
    const task = record?.tasks[update.task.index];
    if (!record || !task?.apply(update)) {
      this.options.metrics.increment('requests.updates.dropped');
      return;
    }
    // The owner of the group may have changed since the task was placed.
    if (update.stage === 'running') task.owner = owner;
    this.options.timeline.record(`task.${update.stage}`, {
      key: update.task.key,
      index: update.task.index,
      attempt: update.task.attempt,
      epoch: update.epoch,
      ...('worker' in update ? {worker: update.worker} : {}),
    });
    record.notifyChange();
  }

  private permitDispatch(identity: TaskUpdate['task']): boolean {
    const record = this.findLocal(identity.key);
    const task = record?.tasks[identity.index];
    if (!record || !task || task.attempt !== identity.attempt) return false;
    const isRefused =
      record.isCancelled || task.isDispatchRevoked || task.hasEnded();
    if (isRefused) return false;
    task.isDispatchPermitted = true;
    return true;
  }

  private async showLocal(
    record: RequestRecord,
    wait: WaitOptions,
  ): Promise<RequestView> {
    const {clock} = this.options;
    const remaining = (wait.waitUntil ?? 0) - clock.wallNow();
    const deadline = clock.monotonicNow() + remaining;
    for (;;) {
      const view = record.view();
      const isOver = view.answer !== undefined || record.isHandedOver;
      if (isOver || hasNewRevision(view, wait)) return view;
      if (clock.monotonicNow() >= deadline) return view;
      await record.waitForChange(deadline);
    }
  }

  private cancelLocal(record: RequestRecord): RequestView {
    if (!record.isCancelled && !record.answer) {
      record.isCancelled = true;
      this.options.timeline.record('request.cancelled', {key: record.key});
      record.notifyChange();
    }
    return record.view();
  }

  /**
   * Wakes all unfinished requests when an owner appears, disappears or
   * restarts.
   */
  private async watchOwners(signal: AbortSignal): Promise<void> {
    const {clock} = this.options;
    let lastOwners = '';
    while (!signal.aborted) {
      const owners = this.describeOwners();
      if (owners !== lastOwners) {
        this.store.unfinished().forEach(record => record.notifyChange());
      }
      lastOwners = owners;
      const deadline = clock.monotonicNow() + OWNER_CHECK_PERIOD_MILLISECONDS;
      await clock.sleepUntil(deadline, signal);
    }
  }

  private describeOwners(): string {
    const {network, chooser} = this.options;
    return network
      .livePeers()
      .map(name => `${name}/${chooser.incarnationOf(name) ?? ''}`)
      .sort()
      .join();
  }
}

function hasNewRevision(view: RequestView, wait: WaitOptions): boolean {
  return view.revision > (wait.afterRevision ?? -1);
}

function conflict(key: string): ConflictError {
  return ConflictError.create(
    `request key ${key} was used before with another body`,
    {key},
  );
}
