import {z} from 'zod';

/** One task in a step's progress record. */
const TaskProgress = z.tuple([
  /** 0 waiting, 1 placed, 2 done. */
  z.number().int().min(0).max(2),
  /** Number of the last attempt. */
  z.number().int(),
  /** Number of failed runs. */
  z.number().int(),
  /** Worker of the placed run. */
  z.string(),
  /** Start of that worker's incarnation in Unix milliseconds. */
  z.number(),
  /** Newest known checkpoint. */
  z.string(),
]);

/** The durable progress of one step. */
export const StepProgress = z.object({
  gangAttempt: z.number().int(),
  gangFailures: z.number().int(),
  /**
   * Attempt number of the newest run that `gangFailures` includes. Missing for
   * other steps than gangs and in records of earlier versions, whose
   * `gangFailures` includes every member that failed.
   */
  lastFailedGangAttempt: z.number().int().optional(),
  tasks: z.array(TaskProgress),
  /**
   * Address of each worker with placed runs, by worker ID, in the newest of its
   * incarnations that holds one. Missing in records of earlier versions, which
   * in turn ignore it; they would refuse a longer task tuple.
   */
  addresses: z.record(z.string(), z.string()).optional(),
  /**
   * Positions in `tasks` of the lasting tasks whose start is confirmed. Missing
   * in records of earlier versions.
   */
  confirmed: z.array(z.number().int()).optional(),
  /**
   * Unix milliseconds until which the step waits for a near place; in the past
   * if it waits no longer. Missing while that is not decided and in records of
   * earlier versions. In a large submission, the first range has it.
   */
  nearPlaceUntil: z.number().optional(),
});
export type StepProgress = z.infer<typeof StepProgress>;
