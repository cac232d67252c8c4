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
  /** One entry for each held place. */
  workers: WorkerRecord[];
  deadline: number;
}

/**
 * Holds of gangs on the workers of one owner. A hold is granted whole or
 * refused at once; it never waits, so gangs cannot block each other.
 */
export class HoldBook {
  private readonly gangs = new Map<string, Map<string, Hold>>();

  private constructor(
    private readonly clock: Clock,
    private readonly ledger: ReservationLedger,
    private readonly onReserved: (record: TaskRecord) => void,
  ) {}

  static create(
    clock: Clock,
    ledger: ReservationLedger,
    onReserved: (record: TaskRecord) => void,
  ): HoldBook {
    return new HoldBook(clock, ledger, onReserved);
  }

  /** Repeating a granted request confirms it and moves its deadline. */
  hold(request: HoldRequest): Either<RefusedError, void> {
    this.dropExpired();
    if (request.deadline <= this.clock.wallNow()) {
      return Left(refused(request, 'hold-expired', 'its deadline has passed'));
    }
    const existing = this.find(request);
    if (existing) return this.extend(existing, request);
    const demand = Vectors.of(request.demand);
    const workers = this.takePlaces(request, demand);
    if (!workers) {
      const cause = `${request.count} places are not free at once`;
      return Left(refused(request, 'no-capacity', cause));
    }
    const holds = this.gangs.get(request.gangKey) ?? new Map<string, Hold>();
    holds.set(request.group, {demand, workers, deadline: request.deadline});
    this.gangs.set(request.gangKey, holds);
    return Right(undefined);
  }

  /** Makes the held places the reservations of the tasks. */
  commit(commit: HoldCommit): Either<RefusedError, PlacedTask[]> {
    this.dropExpired();
    const hold = this.find(commit);
    if (!hold) return this.recommit(commit);
    if (commit.tasks.length > hold.workers.length) {
      const cause = `${hold.workers.length} places are held`;
      return Left(refused(commit, 'too-many-tasks', cause));
    }
    this.release(commit.gangKey, commit.group);
    const now = this.clock.monotonicNow();
    return Right(
      commit.tasks.map((task, i) => {
        const worker = hold.workers[i]!;
        const {info} = commit;
        const record = this.ledger.addTask(
          task,
          worker,
          hold.demand,
          info,
          now,
        );
        this.onReserved(record);
        return {task, worker: worker.name, group: worker.group};
      }),
    );
  }

  /** Frees the holds of a gang, in one group or in all. */
  release(gangKey: string, group?: string): boolean {
    const holds = this.gangs.get(gangKey);
    if (!holds) return false;
    const names = group === undefined ? [...holds.keys()] : [group];
    let found = false;
    for (const name of names) {
      const hold = holds.get(name);
      if (!hold) continue;
      holds.delete(name);
      this.freePlaces(hold);
      found = true;
    }
    if (holds.size === 0) this.gangs.delete(gangKey);
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
      hold.workers.length === request.count &&
      Vectors.equal(hold.demand, Vectors.of(request.demand));
    if (!isSame) {
      const cause = 'a different hold of the gang exists';
      return Left(refused(request, 'different-hold', cause));
    }
    hold.deadline = Math.max(hold.deadline, request.deadline);
    return Right(undefined);
  }

  /** Answers a repeated commit whose first answer was lost. */
  private recommit(commit: HoldCommit): Either<RefusedError, PlacedTask[]> {
    const placed: PlacedTask[] = [];
    for (const task of commit.tasks) {
      const record = this.ledger.task(task);
      if (!record) {
        const cause = 'no hold of the gang exists';
        return Left(refused(commit, 'no-hold', cause));
      }
      const {name, group} = record.worker;
      placed.push({task, worker: name, group});
    }
    return Right(placed);
  }

  /** Takes every place or none, filling the fullest workers first. */
  private takePlaces(
    request: HoldRequest,
    demand: Vector,
  ): WorkerRecord[] | undefined {
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
    if (taken.length === request.count) return taken;
    for (const worker of taken) this.ledger.removeHold(worker, demand);
    return undefined;
  }

  private freePlaces(hold: Hold): void {
    for (const worker of hold.workers) {
      this.ledger.removeHold(worker, hold.demand);
    }
  }
}

function refused(
  names: {gangKey: string; group: string},
  reason: string,
  cause: string,
): RefusedError {
  const {gangKey, group} = names;
  return RefusedError.create(
    `hold of gang ${gangKey} on group ${group} refused: ${cause}`,
    {reason, gangKey, group},
  );
}
