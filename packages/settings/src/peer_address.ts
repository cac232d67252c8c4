import {Name} from '@cardamomfield/types';
import {z} from 'zod';
import {IpAddress} from './ip_address.js';

/** Address at which another entry host accepts peer connections. */
export const PeerAddress = z.strictObject({
  name: Name,
  address: IpAddress,
  port: z.int().min(1).max(65_535),
});
export type PeerAddress = z.infer<typeof PeerAddress>;
