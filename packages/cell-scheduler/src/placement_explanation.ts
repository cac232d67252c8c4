import {z} from 'zod';
import {WorkerExclusion} from './worker_exclusion.js';

/** What keeps tasks of a step from being placed now. */
const Obstacle = z.object({
  reason: z.enum([
    'earlier-steps',
    'due-time',
    'error',
    'retry-delay',
    'unknown-limits',
    'team-limit',
    'advice',
    'near-place',
    'capacity',
  ]),
  /** Unix milliseconds; missing if the time is not known. */
  until: z.number().optional(),
  detail: z.string().optional(),
});

const StepExplanation = z.object({
  occurrence: z.number().int(),
  step: z.number().int(),
  waiting: z.number().int(),
  placed: z.number().int(),
  done: z.number().int(),
  /** Where the next task would be placed now, unless others come first. */
  worker: z.string().optional(),
  rack: z.string().optional(),
  waitsFor: z.array(Obstacle),
  /** Number of workers of the service that could take a task now. */
  openWorkers: z.number().int(),
  /** The other workers by reason, with some of their IDs. */
  excluded: z.array(
    z.object({
      reason: WorkerExclusion,
      count: z.number().int(),
      workers: z.array(z.string()),
    }),
  ),
});

/** What the owner of the shard answers to a `PlacementQuestion`. */
export const PlacementExplanation = z.object({
  /** Missing for a request that was not sent. */
  id: z.string().optional(),
  state: z.string(),
  /** Missing where the submission has ended. */
  queue: z.string().optional(),
  /** Missing where the submission has ended or belongs to no team. */
  team: z
    .object({
      name: z.string(),
      /** What the limit leaves; missing for resources without a limit. */
      headroom: z.object({
        milliCores: z.number().optional(),
        memoryMegabytes: z.number().optional(),
        accelerators: z.number().optional(),
      }),
    })
    .optional(),
  /** Steps with unfinished tasks, the first ones only. */
  steps: z.array(StepExplanation),
  omittedSteps: z.number().int(),
});
export type PlacementExplanation = z.infer<typeof PlacementExplanation>;
