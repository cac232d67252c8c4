import type {TaskRecord} from './task_record.js';
import type {Vector} from './vector.js';
import {Vectors} from './vectors.js';
import type {WorkerDefinition} from './worker_definition.js';

/** Reservations on one worker and what they leave available. */
export class WorkerRecord {
  readonly tasks = new Map<string, TaskRecord>();
  /** Sum of the reservations of tasks and holds. */
  readonly reserved = Vectors.zero();
  /** Sum of the demands of blocked tasks that wait for this worker. */
  readonly earmarked = Vectors.zero();
  /** Sum of the reservations that preempted tasks are about to free. */
  readonly preempting = Vectors.zero();
  /** Sum of the reservations of batch tasks that may be preempted. */
  readonly preemptible = Vectors.zero();
  /** Sum of the reservations of services, which do not end by themselves. */
  readonly lasting = Vectors.zero();
  /** What new tasks may use; negative where the worker is overcommitted. */
  readonly available = Vectors.zero();
  /** What was available before the last refresh. */
  readonly previous = Vectors.zero();
  capacity = Vectors.zero();
  /** The part of the capacity that the worker's weight allows. */
  usable = Vectors.zero();
  isPresent = false;
  isPlaceable = false;

  private constructor(
    public definition: WorkerDefinition,
    /** Order of first appearance, which breaks ties. */
    readonly position: number,
  ) {}

  static create(definition: WorkerDefinition, position: number): WorkerRecord {
    const record = new WorkerRecord(definition, position);
    record.define(definition);
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

  define(definition: WorkerDefinition): void {
    const weight = Math.min(1, Math.max(0, definition.weight));
    this.definition = definition;
    this.capacity = Vectors.of(definition.capacity);
    this.usable = this.capacity.map(amount => Math.floor(amount * weight));
    this.isPresent = true;
    this.isPlaceable = definition.state === 'active' && weight > 0;
    this.refresh();
  }

  /** Marks the worker as gone; its tasks keep their reservations. */
  markAbsent(): void {
    this.isPresent = false;
    this.isPlaceable = false;
  }

  /**
   * Recomputes what is available: the free amount now, or the free amount
   * once preempted tasks have ended and earmarked tasks have started,
   * whichever is smaller.
   */
  refresh(): void {
    for (let d = 0; d < this.available.length; d++) {
      const free = this.usable[d]! - this.reserved[d]!;
      const later = free + this.preempting[d]! - this.earmarked[d]!;
      this.previous[d] = this.available[d]!;
      this.available[d] = Math.min(free, later);
    }
  }

  /** Whether a demand fits for which the worker has an earmark. */
  fitsEarmarked(demand: Vector): boolean {
    for (let d = 0; d < demand.length; d++) {
      const free = this.usable[d]! - this.reserved[d]!;
      if (free < demand[d]!) return false;
      if (free + this.preempting[d]! < this.earmarked[d]!) return false;
    }
    return true;
  }
}
