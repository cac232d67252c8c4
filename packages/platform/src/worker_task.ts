import {ResourceVector, TaskIdentity} from '@cardamomfield/types';
import {z} from 'zod';
import {TaskPhase} from './task_phase.js';

/** A task as its worker reports it. */
export const WorkerTask = z.object({
  task: TaskIdentity,
  epoch: z.int().nonnegative(),
  coordinator: z.string(),
  team: z.string(),
  service: z.string(),
  kind: z.string(),
  idempotent: z.boolean(),
  /** Number of tasks in the whole request. */
  taskCount: z.int().positive(),
  demand: ResourceVector,
  phase: TaskPhase,
  /** Wall-clock instants on the worker's clock. */
  startedAt: z.int(),
  endedAt: z.int().optional(),
  leaseDeadline: z.int(),
  /** Result of the task, or the cause of its failure. */
  value: z.json().optional(),
  /** Measured usage; it may be out of date. */
  usage: ResourceVector.optional(),
});
export type WorkerTask = z.infer<typeof WorkerTask>;
