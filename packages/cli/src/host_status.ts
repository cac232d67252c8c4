import {z} from 'zod';

/** Status of one entry host; newer hosts may report more. */
export const HostStatus = z.looseObject({});
export type HostStatus = z.infer<typeof HostStatus>;
