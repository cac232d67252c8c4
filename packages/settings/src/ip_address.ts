import {z} from 'zod';

/** An IP address; host names are not resolved. */
export const IpAddress = z.union([z.ipv4(), z.ipv6()]);
export type IpAddress = z.infer<typeof IpAddress>;
