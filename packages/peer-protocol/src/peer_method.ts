import type {z} from 'zod';

/** One procedure between entry hosts, with the schemas of both directions. */
export interface PeerMethod<Parameters, Result> {
  readonly name: string;
  readonly parameters: z.ZodType<Parameters>;
  readonly result: z.ZodType<Result>;
}
