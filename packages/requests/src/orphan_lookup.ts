import type {Clock} from '@cardamomfield/clock';
import {
  NotFoundError,
  type TypedError,
  UnavailableError,
} from '@cardamomfield/errors';
import {
  CANCEL_TASKS,
  type KnownTask,
  type PeerNetwork,
  type RequestView,
} from '@cardamomfield/peer-protocol';
import type {FinalAnswer, TaskConclusion} from '@cardamomfield/types';
import {type Either, Left, Right} from 'purify-ts';
import {assembleAnswer} from './assemble_answer.js';
import type {IntentJournal} from './intent_journal.js';
import type {TaskFinder} from './task_finder.js';

/** Time for an owner to accept a cancellation. */
const CANCEL_TIMEOUT_MILLISECONDS = 1_000;

interface OrphanLookupOptions {
  network: PeerNetwork;
  clock: Clock;
  journal: IntentJournal;
  finder: TaskFinder;
}

/** Looks up requests without a live coordinator in the log and at owners. */
export class OrphanLookup {
  private constructor(private readonly options: OrphanLookupOptions) {}

  static create(options: OrphanLookupOptions): OrphanLookup {
    return new OrphanLookup(options);
  }

  /** Cancels the live tasks of a request without a coordinator. */
  async cancel(key: string): Promise<Either<TypedError, RequestView>> {
    const {finder, network, clock} = this.options;
    const report = await finder.find(key);
    const live = report.tasks.filter(task => task.isLive);
    const owners = new Set(live.map(task => task.reporter));
    const deadline = clock.monotonicNow() + CANCEL_TIMEOUT_MILLISECONDS;
    await Promise.all(
      [...owners].map(owner =>
        network.call(owner, CANCEL_TASKS, {keys: [key]}, deadline),
      ),
    );
    return this.show(key);
  }

  /**
   * Returns the state as far as it can be proved. `NotFoundError` proves that
   * no task of the request is live and that no record of it exists.
   * `UnavailableError` means that the state can't be determined yet.
   */
  async show(key: string): Promise<Either<TypedError, RequestView>> {
    const entry = this.options.journal.find(key);
    if (entry?.answer) {
      return Right(finishedView(key, entry.coordinator, entry.answer));
    }
    const report = await this.options.finder.find(key);
    const [first] = report.tasks;
    if (first) return Right(orphanView(key, report.tasks));
    if (!report.isComplete) {
      const message = `the workers that may run ${key} can't be asked yet`;
      return Left(UnavailableError.create(message));
    }
    if (entry) return Right(finishedView(key, entry.coordinator, unknown(key)));
    return Left(NotFoundError.create(`no request has the key ${key}`));
  }
}

const RESULT_UNKNOWN: TaskConclusion = {
  kind: 'unknown',
  reason: {
    code: 'uncertain',
    message: 'a task may have run; its result is not known',
  },
};

function unknown(key: string): FinalAnswer {
  const message = 'its entry host died and no worker knows the request';
  return {outcome: 'unknown', key, reason: {code: 'uncertain', message}};
}

function finishedView(
  key: string,
  coordinator: string,
  answer: FinalAnswer,
): RequestView {
  return {key, phase: 'finished', coordinator, revision: 0, tasks: [], answer};
}

function orphanView(key: string, tasks: readonly KnownTask[]): RequestView {
  const isLive = tasks.some(task => task.isLive);
  const conclusions = concludeAll(tasks);
  return {
    key,
    phase: isLive ? 'running' : 'finished',
    coordinator: tasks[0]?.coordinator ?? '',
    revision: 0,
    tasks: tasks.map(known => ({
      index: known.task.index,
      attempt: known.task.attempt,
      stage: known.update?.stage ?? 'queued',
    })),
    ...(isLive ? {} : {answer: assembleAnswer(key, conclusions)}),
  };
}

/** Selects the latest attempt of each task. */
function latestAttempts(tasks: readonly KnownTask[]): KnownTask[] {
  const latest = new Map<number, KnownTask>();
  for (const known of tasks) {
    const other = latest.get(known.task.index);
    const isNewer = !other || other.task.attempt < known.task.attempt;
    if (isNewer) latest.set(known.task.index, known);
  }
  return [...latest.values()];
}

/** A task that no host reports may have run, so its result is unknown. */
function concludeAll(tasks: readonly KnownTask[]): TaskConclusion[] {
  const latest = latestAttempts(tasks);
  const count = tasks[0]?.taskCount ?? latest.length;
  const missing = Array.from(
    {length: count - latest.length},
    () => RESULT_UNKNOWN,
  );
  return [...latest.map(conclusionOf), ...missing];
}

function conclusionOf(known: KnownTask): TaskConclusion {
  const {update} = known;
  if (update?.stage !== 'ended') return RESULT_UNKNOWN;
  const {worker, succeeded, value} = update;
  const result = {index: known.task.index, worker, succeeded, value};
  return {kind: 'ran', result};
}
