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
  type RequestView,
  SHOW_REQUEST,
  STOP_REQUEST,
  UPDATE_TASKS,
  type TaskUpdate,
} from '@cardamomfield/peer-protocol';
import type {Timeline} from '@cardamomfield/timeline';
import type {FinalAnswer, Submission} from '@cardamomfield/types';
import {type Either, Left, Right} from 'purify-ts';
import {hashBody} from './hash_body.js';
import type {IntentJournal} from './intent_journal.js';
import {KeyPartitions} from './key_partitions.js';
import type {KeyRegistrarClient} from './key_registrar_client.js';
import {OrphanLookup} from './orphan_lookup.js';
import type {OwnerChooser} from './owner_chooser.js';
import {RemoteRequests} from './remote_requests.js';
import {RequestRecord} from './request_record.js';
import {RequestRun} from './request_run.js';
import type {SubmissionChecker} from './submission_checker.js';
import type {TaskFinder} from './task_finder.js';
import type {TaskRecord} from './task_record.js';
import {TaskRun} from './task_run.js';

/** Finished requests are kept this long for callers who ask again. */
const RETENTION_MILLISECONDS = 24 * 60 * 60 * 1_000;

/** Finished requests kept at most; the oldest go first. */
const MAXIMUM_FINISHED = 50_000;

/** Period of the check for owners that went away. */
const WATCH_PERIOD_MILLISECONDS = 250;

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
  spendRetry: () => boolean;
  /** Orphan registrations and read groups of this process as an owner. */
  listOrphans: (partition: string) => {
    registrations: KeyRegistration[];
    groups: string[];
  };
}

interface WaitOptions {
  afterRevision?: number;
  /** Wall-clock instant until which the call may wait for news. */
  waitUntil?: number;
}

/** Takes requests in and knows the truth about each that it runs. */
export class RequestCoordinator {
  private readonly records = new Map<string, RequestRecord>();
  private readonly registeredEpochs = new Map<string, number>();
  private readonly chosenKeys = new Set<string>();
  private readonly finished: string[] = [];
  private readonly remote: RemoteRequests;
  private readonly orphans: OrphanLookup;
  private generatedKeys = 0;
  private unfinished = 0;
  private isClosed = false;

  private constructor(private readonly options: RequestCoordinatorOptions) {
    const {network, clock, journal, finder} = options;
    this.remote = RemoteRequests.create({network, clock});
    this.orphans = OrphanLookup.create({journal, finder});
  }

  static create(options: RequestCoordinatorOptions): RequestCoordinator {
    const coordinator = new RequestCoordinator(options);
    coordinator.registerHandlers();
    return coordinator;
  }

  /** Watches for owners that go away, until the signal aborts. */
  async run(signal: AbortSignal): Promise<void> {
    const {clock} = this.options;
    let seen = '';
    while (!signal.aborted) {
      const now = this.describeOwners();
      if (now !== seen) this.wakeAll();
      seen = now;
      const deadline = clock.monotonicNow() + WATCH_PERIOD_MILLISECONDS;
      await clock.sleepUntil(deadline, signal);
    }
  }

  /** A key that no other request has. */
  generateKey(): string {
    const {self, incarnation} = this.options;
    this.generatedKeys += 1;
    return `${self}.${incarnation}.${this.generatedKeys}`;
  }

  /** Requests that have no answer yet. */
  countUnfinished(): number {
    return this.unfinished;
  }

  /** Refuses new requests from now on; those under way go on. */
  close(): void {
    this.isClosed = true;
  }

  /**
   * Accepts a request and returns its first state. A key that is known gets
   * the state of the earlier request, wherever it runs.
   */
  async submit(
    submission: Submission,
    isKeyChosen: boolean,
  ): Promise<Either<TypedError, RequestView>> {
    if (this.isClosed) {
      return Left(UnavailableError.create('this entry host is shutting down'));
    }
    const bodyHash = hashBody(submission);
    const known = this.records.get(submission.key);
    if (known) return this.repeat(known, bodyHash);
    const checked = this.options.checker.check(submission);
    if (checked.isLeft()) return Left(checked.extract() as TypedError);
    const refusal = checked.extract() as FinalAnswer | undefined;
    const record = this.createRecord(submission, bodyHash);
    if (!isKeyChosen) return Right(this.start(record, refusal));
    return this.submitChosen(record, refusal);
  }

  /** The state of a request, wherever it runs. */
  async show(
    key: string,
    wait: WaitOptions = {},
  ): Promise<Either<TypedError, RequestView>> {
    const known = this.records.get(key);
    if (known) return Right(await this.showLocal(known, wait));
    const remote = await this.remote.show(key, wait);
    if (remote) return Right(remote.view);
    return this.orphans.show(key);
  }

  /** Stops a request, wherever it runs. Idempotent. */
  async cancel(key: string): Promise<Either<TypedError, RequestView>> {
    const known = this.records.get(key);
    if (known) return Right(this.cancelLocal(known));
    const remote = await this.remote.cancel(key);
    if (remote) return Right(remote);
    return Left(NotFoundError.create(`no entry host runs request ${key}`));
  }

  private registerHandlers(): void {
    const {network} = this.options;
    network.handle(UPDATE_TASKS, async (peer, {updates}) => {
      updates.forEach(update => this.takeUpdate(peer, update));
      return Right({});
    });
    network.handle(PERMIT_DISPATCH, async (_peer, {task}) =>
      Right({permitted: this.permitDispatch(task)}),
    );
    network.handle(SHOW_REQUEST, async (_peer, {key, ...wait}) => {
      const record = this.records.get(key);
      if (!record) return Right({view: null, bodyHash: ''});
      const view = await this.showLocal(record, wait);
      return Right({view, bodyHash: record.bodyHash});
    });
    network.handle(STOP_REQUEST, async (_peer, {key}) => {
      const record = this.records.get(key);
      return Right({view: record ? this.cancelLocal(record) : null});
    });
    network.handle(LIST_KEYS, async (_peer, {partition}) =>
      Right(this.listKeys(partition)),
    );
  }

  private createRecord(
    submission: Submission,
    bodyHash: string,
  ): RequestRecord {
    const {self, clock} = this.options;
    return RequestRecord.create({
      submission,
      bodyHash,
      coordinator: self,
      clock,
    });
  }

  private repeat(
    known: RequestRecord,
    bodyHash: string,
  ): Either<TypedError, RequestView> {
    if (known.bodyHash === bodyHash) return Right(known.view());
    return Left(conflict(known.key));
  }

  /** Asks the registrar first: the key may run on another entry host. */
  private async submitChosen(
    record: RequestRecord,
    refusal: FinalAnswer | undefined,
  ): Promise<Either<TypedError, RequestView>> {
    this.records.set(record.key, record);
    const registered = await this.register(record);
    if (registered.isLeft()) {
      this.records.delete(record.key);
      return Left(registered.extract() as TypedError);
    }
    const winner = registered.extract() as KeyRegistration;
    if (this.isOwn(winner)) {
      this.chosenKeys.add(record.key);
      return Right(this.start(record, refusal));
    }
    this.records.delete(record.key);
    if (winner.bodyHash !== record.bodyHash) return Left(conflict(record.key));
    return this.followWinner(record, winner, refusal);
  }

  private async followWinner(
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
    return this.replaceWinner(record, winner, refusal);
  }

  /** Takes over a key whose coordinator is dead and left nothing live. */
  private async replaceWinner(
    record: RequestRecord,
    dead: KeyRegistration,
    refusal: FinalAnswer | undefined,
  ): Promise<Either<TypedError, RequestView>> {
    if (this.isLive(dead)) {
      const message = `the coordinator of ${record.key} does not answer`;
      return Left(UnavailableError.create(message));
    }
    this.records.set(record.key, record);
    const registered = await this.register(record, dead.coordinatorIncarnation);
    const winner = registered.toMaybe().extract();
    if (winner && this.isOwn(winner)) {
      this.chosenKeys.add(record.key);
      return Right(this.start(record, refusal));
    }
    this.records.delete(record.key);
    const message = `another entry host takes over ${record.key}`;
    return Left(UnavailableError.create(message));
  }

  private isLive(registration: KeyRegistration): boolean {
    const {network, chooser} = this.options;
    const {coordinator, coordinatorIncarnation} = registration;
    if (!network.livePeers().includes(coordinator)) return false;
    return chooser.incarnationOf(coordinator) === coordinatorIncarnation;
  }

  private async register(
    record: RequestRecord,
    replaces?: string,
  ): Promise<Either<TypedError, KeyRegistration>> {
    const {registrar, clock} = this.options;
    const registration = {
      ...this.registrationOf(record),
      ...(replaces === undefined ? {} : {replaces}),
    };
    const remaining = record.submission.deadline - clock.wallNow();
    const deadline = clock.monotonicNow() + remaining;
    const answer = await registrar.register(registration, deadline);
    return answer.map(({winner, epoch}) => {
      if (this.isOwn(winner)) this.registeredEpochs.set(record.key, epoch);
      return winner;
    });
  }

  private registrationOf(record: RequestRecord): KeyRegistration {
    const {self, incarnation, clock} = this.options;
    return {
      key: record.key,
      bodyHash: record.bodyHash,
      coordinator: self,
      coordinatorIncarnation: incarnation,
      expiresAt:
        Math.max(clock.wallNow(), record.submission.deadline) +
        RETENTION_MILLISECONDS,
    };
  }

  private isOwn(registration: KeyRegistration): boolean {
    const {self, incarnation} = this.options;
    return (
      registration.coordinator === self &&
      registration.coordinatorIncarnation === incarnation
    );
  }

  /**
   * Registers again when the partition has a new owner, since the new
   * registrar may have given the key to somebody else meanwhile.
   */
  private async confirmRegistration(record: RequestRecord): Promise<boolean> {
    const registered = this.registeredEpochs.get(record.key);
    if (registered === undefined) return true;
    if (this.options.registrar.epochOf(record.key) === registered) return true;
    const answer = await this.register(record);
    return answer.caseOf({
      Left: () => false,
      Right: winner => this.isOwn(winner),
    });
  }

  private start(
    record: RequestRecord,
    refusal: FinalAnswer | undefined,
  ): RequestView {
    this.records.set(record.key, record);
    this.options.timeline.record('request.accepted', {
      key: record.key,
      team: record.submission.team,
      service: record.submission.service,
      kind: record.submission.kind,
    });
    if (refusal) {
      record.answer = refusal;
      this.finish(record);
    } else {
      void this.runToEnd(record);
    }
    return record.view();
  }

  private async runToEnd(record: RequestRecord): Promise<void> {
    const {self, incarnation, journal} = this.options;
    this.unfinished += 1;
    const run = RequestRun.create(record, {
      self,
      incarnation,
      journal,
      runTask: (request, task) => this.createTaskRun(request, task).run(),
    });
    await run.run();
    this.unfinished -= 1;
    this.finish(record);
  }

  private createTaskRun(record: RequestRecord, task: TaskRecord): TaskRun {
    return TaskRun.create(record, task, {
      ...this.options,
      confirmRegistration: () => this.confirmRegistration(record),
    });
  }

  private finish(record: RequestRecord): void {
    const {clock, metrics, timeline} = this.options;
    const outcome = record.answer?.outcome ?? 'unknown';
    record.expiresAt = clock.wallNow() + RETENTION_MILLISECONDS;
    metrics.increment('requests.finished', 1, {outcome});
    timeline.record('request.finished', {key: record.key, outcome});
    this.finished.push(record.key);
    this.dropOldest();
  }

  private dropOldest(): void {
    const now = this.options.clock.wallNow();
    for (;;) {
      const oldest = this.finished[0];
      if (oldest === undefined) return;
      const expiresAt = this.records.get(oldest)?.expiresAt ?? 0;
      const isFull = this.finished.length > MAXIMUM_FINISHED;
      if (!isFull && expiresAt > now) return;
      this.finished.shift();
      this.records.delete(oldest);
      this.registeredEpochs.delete(oldest);
      this.chosenKeys.delete(oldest);
    }
  }

  private takeUpdate(
    owner: {name: string; incarnation: string},
    update: TaskUpdate,
  ): void {
    const record = this.records.get(update.task.key);
    const task = record?.tasks[update.task.index];
    if (!record || !task?.apply(update)) {
      this.options.metrics.increment('requests.updates.dropped');
      return;
    }
    // A group may have changed hands since the task was placed.
    if (update.stage === 'running') task.owner = owner;
    this.options.timeline.record(`task.${update.stage}`, {
      key: update.task.key,
      index: update.task.index,
      attempt: update.task.attempt,
      epoch: update.epoch,
      ...('worker' in update ? {worker: update.worker} : {}),
    });
    record.changed();
  }

  private permitDispatch(identity: TaskUpdate['task']): boolean {
    const record = this.records.get(identity.key);
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
      const isNews = view.revision > (wait.afterRevision ?? -1);
      if (isNews || view.answer) return view;
      if (clock.monotonicNow() >= deadline) return view;
      await record.waitForChange(deadline);
    }
  }

  private cancelLocal(record: RequestRecord): RequestView {
    if (!record.isCancelled && !record.answer) {
      record.isCancelled = true;
      this.options.timeline.record('request.cancelled', {key: record.key});
      record.changed();
    }
    return record.view();
  }

  private listKeys(partition: string): {
    registrations: KeyRegistration[];
    groups: string[];
  } {
    const orphans = this.options.listOrphans(partition);
    const own = [...this.chosenKeys]
      .filter(key => KeyPartitions.of(key) === partition)
      .flatMap(key => this.records.get(key) ?? [])
      .map(record => this.registrationOf(record));
    return {
      registrations: [...own, ...orphans.registrations],
      groups: orphans.groups,
    };
  }

  private describeOwners(): string {
    const {network, chooser} = this.options;
    return network
      .livePeers()
      .map(name => `${name}/${chooser.incarnationOf(name) ?? ''}`)
      .sort()
      .join();
  }

  private wakeAll(): void {
    for (const record of this.records.values()) {
      if (!record.answer) record.changed();
    }
  }
}

function conflict(key: string): ConflictError {
  return ConflictError.create(
    `request key ${key} was used before with another body`,
    {key},
  );
}
