import type {Clock} from '@cardamomfield/clock';
import {RefusedError} from '@cardamomfield/errors';
import {type Either, Left, Right} from 'purify-ts';
import type {HoldCommit} from './hold_commit.js';
import type {HoldRequest} from './hold_request.js';
import type {PlacedTask} from './placed_task.js';
import type {ReservationLedger} from './reservation_ledger.js';
import type {TaskRecord} from './task_record.js';
import type {Vector} from './vector.js';
import {Vectors} from './vectors.js';
import type {WorkerRecord} from './worker_record.js';

interface Hold {
  demand: Vector;
  /**
   * The worker of each held place; empty once committed. A place is capacity
   * for one task.
   */
  workers: WorkerRecord[];
  /** Tasks that are committed but not started. */
  committed: TaskRecord[];
  deadline: number;
}

/**
 * Holds of gangs on the workers of one owner. A hold is either granted in full
 * or refused immediately. It never waits, so gangs cannot deadlock.
 */
export class HoldRegistry {
  private readonly gangs = new Map<string, Map<string, Hold>>();

  private constructor(
    private readonly clock: Clock,
    private readonly ledger: ReservationLedger,
    private readonly onReserved: (record: TaskRecord) => void,
    /** Called for committed tasks that will not be started. */
    private readonly onDropped: (record: TaskRecord) => void,
  ) {}

  static create(
    clock: Clock,
    ledger: ReservationLedger,
    onReserved: (record: TaskRecord) => void,
    onDropped: (record: TaskRecord) => void,
  ): HoldRegistry {
    return new HoldRegistry(clock, ledger, onReserved, onDropped);
  }

  /**
   * Idempotent: repeating a granted request confirms it and extends its
   * deadline.
   */
  hold(request: HoldRequest): Either<RefusedError, void> {
    this.dropExpired();
    if (request.deadline <= this.clock.wallNow()) {
      return Left(refused(request, 'hold-expired', 'its deadline has passed'));
    }
    const existing = this.find(request);
    if (existing) return this.extend(existing, request);
    const demand = Vectors.of(request.demand);
    const workers = this.takePlaces(request, demand);
    if (workers.length < request.count) {
      const places = workers.length;
      for (const worker of workers) this.ledger.removeHold(worker, demand);
      const cause = `${places} of ${request.count} places are free`;
      return Left(refused(request, 'no-capacity', cause, {places}));
    }
    const holds = this.gangs.get(request.gangKey) ?? new Map<string, Hold>();
    const {deadline} = request;
    holds.set(request.group, {demand, workers, committed: [], deadline});
    this.gangs.set(request.gangKey, holds);
    return Right(undefined);
  }

  /**
   * Turns the held places into reservations of the tasks. They are freed at
   * the hold's deadline unless the gang is started.
   */
  commit(commit: HoldCommit): Either<RefusedError, PlacedTask[]> {
    this.dropExpired();
    const hold = this.find(commit);
    if (!hold || hold.committed.length > 0) return this.recommit(commit);
    if (commit.tasks.length > hold.workers.length) {
      const cause = `${hold.workers.length} places are held`;
      return Left(refused(commit, 'too-many-tasks', cause));
    }
    const {workers} = hold;
    this.freePlaces(hold);
    const now = this.clock.monotonicNow();
    hold.committed = commit.tasks.map((task, i) => {
      const record = this.ledger.addTask(
        task,
        workers[i]!,
        hold.demand,
        commit.info,
        now,
      );
      this.onReserved(record);
      return record;
    });
    return Right(hold.committed.map(describe));
  }

  /**
   * Removes the hold of a committed gang, so that its deadline no longer frees
   * the tasks.
   */
  start(gangKey: string, group: string): Either<RefusedError, PlacedTask[]> {
    this.dropExpired();
    const holds = this.gangs.get(gangKey);
    const hold = holds?.get(group);
    if (!hold || hold.committed.length === 0) {
      const cause = 'nothing is committed';
      return Left(refused({gangKey, group}, 'not-committed', cause));
    }
    this.deleteHold(gangKey, group);
    return Right(hold.committed.map(describe));
  }

  /**
   * Frees the held places and the committed tasks of a gang that were not
   * started, in one group or in all.
   */
  release(gangKey: string, group?: string): boolean {
    const holds = this.gangs.get(gangKey);
    if (!holds) return false;
    const names = group === undefined ? [...holds.keys()] : [group];
    let found = false;
    for (const name of names) {
      const hold = holds.get(name);
      if (!hold) continue;
      this.deleteHold(gangKey, name);
      this.freePlaces(hold);
      for (const record of hold.committed) this.onDropped(record);
      found = true;
    }
    return found;
  }

  dropExpired(): void {
    const now = this.clock.wallNow();
    for (const [gangKey, holds] of this.gangs) {
      for (const [group, hold] of holds) {
        if (hold.deadline <= now) this.release(gangKey, group);
      }
    }
  }

  /** Earliest deadline of a hold, on the wall clock. */
  earliestDeadline(): number | undefined {
    let earliest: number | undefined;
    for (const holds of this.gangs.values()) {
      for (const {deadline} of holds.values()) {
        earliest = Math.min(earliest ?? Infinity, deadline);
      }
    }
    return earliest;
  }

  private find(names: {gangKey: string; group: string}): Hold | undefined {
    return this.gangs.get(names.gangKey)?.get(names.group);
  }

  private extend(hold: Hold, request: HoldRequest): Either<RefusedError, void> {
    const isSame =
      hold.committed.length === 0 &&
      hold.workers.length === request.count &&
      Vectors.equal(hold.demand, Vectors.of(request.demand));
    if (!isSame) {
      const cause = 'a different hold of the gang exists';
      return Left(refused(request, 'different-hold', cause));
    }
    hold.deadline = Math.max(hold.deadline, request.deadline);
    return Right(undefined);
  }

  /** Repeats the answer to a commit when the first answer was lost. */
  private recommit(commit: HoldCommit): Either<RefusedError, PlacedTask[]> {
    const placed: PlacedTask[] = [];
    for (const task of commit.tasks) {
      const record = this.ledger.task(task);
      if (!record) {
        const cause = 'no hold of the gang exists';
        return Left(refused(commit, 'no-hold', cause));
      }
      placed.push(describe(record));
    }
    return Right(placed);
  }

  /**
   * Holds up to the requested number of places, first on the workers with the
   * least available dominant resource.
   */
  private takePlaces(request: HoldRequest, demand: Vector): WorkerRecord[] {
    const dominant = Vectors.dominantDimension(demand, this.ledger.total);
    const candidates = [...this.ledger.workersOf(request.group)]
      .filter(worker => worker.isPlaceable)
      .filter(w => w.definition.services.includes(request.service))
      .sort((a, b) => a.available[dominant]! - b.available[dominant]!);
    const taken: WorkerRecord[] = [];
    for (const worker of candidates) {
      while (
        taken.length < request.count &&
        Vectors.fits(demand, worker.available)
      ) {
        this.ledger.addHold(worker, demand);
        taken.push(worker);
      }
    }
    return taken;
  }

  private freePlaces(hold: Hold): void {
    for (const worker of hold.workers) {
      this.ledger.removeHold(worker, hold.demand);
    }
    hold.workers = [];
  }

  private deleteHold(gangKey: string, group: string): void {
    const holds = this.gangs.get(gangKey);
    holds?.delete(group);
    if (holds?.size === 0) this.gangs.delete(gangKey);
  }
}

function describe(record: TaskRecord): PlacedTask {
  const {identity, worker} = record;
  return {task: identity, worker: worker.name, group: worker.group};
}

function refused(
  names: {gangKey: string; group: string},
  reason: string,
  cause: string,
  details: Readonly<Record<string, unknown>> = {},
): RefusedError {
  const {gangKey, group} = names;
  return RefusedError.create(
    `hold of gang ${gangKey} on group ${group} refused: ${cause}`,
    {reason, gangKey, group, ...details},
  );
}
