import {z} from 'zod';
import {Name} from './name.js';
import {RequestKey} from './request_key.js';
import {ResourceVector} from './resource_vector.js';
import {WorkKind} from './work_kind.js';

/** Maximum number of tasks in one request. */
const MAXIMUM_TASKS = 1_024;

/** A request as accepted by an entry host. */
export const Submission = z.strictObject({
  key: RequestKey,
  team: Name,
  service: Name,
  kind: WorkKind,
  /** Resources that each task needs. */
  demand: ResourceVector,
  taskCount: z.int().positive().max(MAXIMUM_TASKS),
  idempotent: z.boolean(),
  /** Region of the caller. */
  region: Name,
  /** Wall-clock instant in Unix milliseconds; no task is started after it. */
  deadline: z.int().positive(),
  /** The caller's estimate of each task's run time; often far off. */
  declaredRunMilliseconds: z.int().nonnegative(),
  payload: z.json(),
});
export type Submission = z.infer<typeof Submission>;
