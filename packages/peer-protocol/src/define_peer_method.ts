import type {z} from 'zod';
import type {PeerMethod} from './peer_method.js';

/** Defines a procedure and infers its types from the schemas. */
export function definePeerMethod<Parameters, Result>(
  name: string,
  parameters: z.ZodType<Parameters>,
  result: z.ZodType<Result>,
): PeerMethod<Parameters, Result> {
  return {name, parameters, result};
}
