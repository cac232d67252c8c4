import type {z} from 'zod';
import type {PeerMethod} from './peer_method.js';

/** Makes a procedure with the types of its schemas. */
export function definePeerMethod<Parameters, Result>(
  name: string,
  parameters: z.ZodType<Parameters>,
  result: z.ZodType<Result>,
): PeerMethod<Parameters, Result> {
  return {name, parameters, result};
}
