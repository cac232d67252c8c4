import {z} from 'zod';
import {Name} from './name.js';
import {PlacementPolicyName} from './placement_policy_name.js';
import {WorkKind} from './work_kind.js';

/**
 * Sets policies and limits for matching requests. An absent selector matches
 * every request. If several rules match, the one with the most selectors wins,
 * then the one whose name sorts first.
 */
export const Rule = z.strictObject({
  name: Name,
  service: Name.optional(),
  team: Name.optional(),
  kind: WorkKind.optional(),
  policy: PlacementPolicyName.optional(),
  /** Action on a task that uses more than it declared. */
  overuse: z.enum(['throttle', 'stop', 'allow']).optional(),
  /** Maximum queue length of one owner for matching requests. */
  queueLimit: z.int().positive().optional(),
});
export type Rule = z.infer<typeof Rule>;
