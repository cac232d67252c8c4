import type {TaskRecord} from './task_record.js';
import type {Vector} from './vector.js';
import {Vectors} from './vectors.js';
import type {WorkerDefinition} from './worker_definition.js';

/** Reservations on one worker, and its available capacity. */
export class WorkerRecord {
  readonly tasks = new Map<string, TaskRecord>();
  /** Sum of the reservations of tasks and holds. */
  readonly reserved = Vectors.zero();
  /** Sum of the earmarks of blocked tasks on this worker. */
  readonly earmarked = Vectors.zero();
  /** Sum of the reservations that preempted tasks are about to free. */
  readonly preempting = Vectors.zero();
  /** Sum of the reservations of batch tasks that may be preempted. */
  readonly preemptible = Vectors.zero();
  /** Sum of the reservations of services, which do not end by themselves. */
  readonly serviceReserved = Vectors.zero();
  /**
   * Amounts that new tasks may use; negative where the worker is overcommitted.
   */
  readonly available = Vectors.zero();
  /** The available amounts before the last refresh. */
  readonly previousAvailable = Vectors.zero();
  capacity = Vectors.zero();
  /** The part of the capacity that the worker's weight allows. */
  usable = Vectors.zero();
  isPresent = false;
  isPlaceable = false;

  private constructor(
    public definition: WorkerDefinition,
    /** Order in which the workers were added, which breaks ties. */
    readonly position: number,
  ) {}

  static create(definition: WorkerDefinition, position: number): WorkerRecord {
    const record = new WorkerRecord(definition, position);
    record.applyDefinition(definition);
    return record;
  }

  get name(): string {
    return this.definition.name;
  }

  get group(): string {
    return this.definition.group;
  }

  get zone(): string {
    return this.definition.availabilityZone;
  }

  applyDefinition(definition: WorkerDefinition): void {
    const weight = Math.min(1, Math.max(0, definition.weight));
    this.definition = definition;
    this.capacity = Vectors.of(definition.capacity);
    this.usable = this.capacity.map(amount => Math.floor(amount * weight));
    this.isPresent = true;
    this.isPlaceable = definition.state === 'active' && weight > 0;
    this.refresh();
  }

  /** Marks the worker as removed; its tasks keep their reservations. */
  markAbsent(): void {
    this.isPresent = false;
    this.isPlaceable = false;
  }

  /**
   * Recomputes the available amounts: the free amount now, or the free amount
   * once preempted tasks have ended and earmarked tasks have started,
   * whichever is smaller.
   */
  refresh(): void {
    for (let d = 0; d < this.available.length; d++) {
      const free = this.usable[d]! - this.reserved[d]!;
      const projected = free + this.preempting[d]! - this.earmarked[d]!;
      this.previousAvailable[d] = this.available[d]!;
      this.available[d] = Math.min(free, projected);
    }
  }

  /** Whether a demand that has an earmark on the worker fits now. */
  fitsEarmarked(demand: Vector): boolean {
    for (let d = 0; d < demand.length; d++) {
      const free = this.usable[d]! - this.reserved[d]!;
      if (free < demand[d]!) return false;
      if (free + this.preempting[d]! < this.earmarked[d]!) return false;
    }
    return true;
  }
}
