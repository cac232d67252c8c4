import {HybridTime} from '@cardamomfield/timeline';
import {z} from 'zod';

const JSON_RPC = z.literal('2.0');

const Request = z.object({
  jsonrpc: JSON_RPC,
  method: z.string(),
  params: z.object({value: z.unknown()}),
  id: z.int().optional(),
});

const Response = z.object({
  jsonrpc: JSON_RPC,
  id: z.int(),
  result: z.unknown(),
});

/** Content of one frame: a JSON-RPC message and the sender's timestamp. */
export const Envelope = z.object({
  time: HybridTime,
  message: z.union([Request, Response]),
});
export type Envelope = z.infer<typeof Envelope>;
