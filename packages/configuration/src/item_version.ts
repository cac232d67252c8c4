import {z} from 'zod';

/** The last accepted record that touched an item. */
export const ItemVersion = z.strictObject({
  offset: z.int().nonnegative(),
  editor: z.string(),
  isRemoved: z.boolean(),
});
export type ItemVersion = z.infer<typeof ItemVersion>;
