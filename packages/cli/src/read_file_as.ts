import {parseFile} from '@cardamomfield/configuration';
import {InvalidInputError} from '@cardamomfield/errors';
import type {Either} from 'purify-ts';
import type {z} from 'zod';
import type {CommandRun} from './command_run.js';

/** Reads a file and checks its schema; errors name the file and the cause. */
export async function readFileAs<Value>(
  schema: z.ZodType<Value>,
  name: string,
  {context}: CommandRun,
): Promise<Either<InvalidInputError, Value>> {
  let text: string;
  try {
    text = await context.readFile(name);
  } catch (error) {
    const {message} = error as Error;
    throw InvalidInputError.create(`${name} can't be read: ${message}`);
  }
  return parseFile(schema, {name, text});
}
