import {z} from 'zod';

/** One step of a submission: a number of like tasks. */
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
  /** Most tasks of the step on one worker; 0 for no limit. */
  maximumPerWorker: z.number().int().min(0),
  savesCheckpoints: z.boolean(),
  allowsCopies: z.boolean(),
  /** The tasks run until the submission is cancelled. */
  isService: z.boolean(),
  /** Tasks of one image behave alike; empty when not named. */
  image: z.string(),
  /** Bound on the tail of a serving task's response times; 0 for none. */
  tailTargetMilliseconds: z.number().min(0),
  /** The step's processors are not reserved; it uses what others leave. */
  usesSpareCapacity: z.boolean(),
  /** Most service tasks that the scheduler may have away at once. */
  maximumUnavailable: z.number().int().min(0),
});
export type StepSpecification = z.infer<typeof StepSpecification>;
