import {z} from 'zod';

/** A TCP or UDP port; 0 lets the operating system choose one. */
export const Port = z.int().min(0).max(65_535);
export type Port = z.infer<typeof Port>;
