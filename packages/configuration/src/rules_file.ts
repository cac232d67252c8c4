import {Rule} from '@cardamomfield/types';
import {z} from 'zod';

/** A set of rules as operators write it, in YAML or JSON. */
export const RulesFile = z.strictObject({
  rules: z.array(Rule),
});
export type RulesFile = z.infer<typeof RulesFile>;
