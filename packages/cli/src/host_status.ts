import {z} from 'zod';

/** Status of one entry host; newer hosts may send further fields. */
export const HostStatus = z.looseObject({});
export type HostStatus = z.infer<typeof HostStatus>;
