import {z} from 'zod';

/** One step of a submission: a number of tasks with the same requirements. */
export const StepSpecification = z.object({
  taskCount: z.number().int().min(1),
  milliCores: z.number().int().min(0),
  memoryMegabytes: z.number().int().min(0),
  accelerators: z.number().int().min(0),
  /** The caller's rough estimate of one task's run time. */
  estimatedMilliseconds: z.number().min(0),
  /** Indexes of earlier steps whose tasks must all be done first. */
  dependsOn: z.array(z.number().int().min(0)),
  /** All tasks start together and end together. */
  isGang: z.boolean(),
  /** Tasks run slower when they are spread over more than one rack. */
  isTightlyCoupled: z.boolean(),
  /** A label that the worker must have; empty for none. */
  requiredLabel: z.string(),
  /** The rack that holds the step's data; empty for none. */
  dataRack: z.string(),
  /** Maximum number of tasks of the step on one worker; 0 for no limit. */
  maximumPerWorker: z.number().int().min(0),
  savesCheckpoints: z.boolean(),
  allowsCopies: z.boolean(),
  /** The tasks run until the submission is cancelled. */
  isService: z.boolean(),
  /** Tasks with the same image behave similarly; empty when not named. */
  image: z.string(),
  /** Upper bound on the tail latency of a serving task; 0 for none. */
  tailTargetMilliseconds: z.number().min(0),
  /** No processors are reserved; the tasks use what other tasks leave free. */
  usesSpareCapacity: z.boolean(),
  /**
   * Maximum number of service tasks that the scheduler may have stopped at the
   * same time.
   */
  maximumUnavailable: z.number().int().min(0),
});
export type StepSpecification = z.infer<typeof StepSpecification>;
