import {InvalidInputError} from '@cardamomfield/errors';
import {type Either, Left, Right} from 'purify-ts';
import type {z} from 'zod';

/** Checks a value; the failure names the path and the cause of each issue. */
export function checkSchema<Value>(
  schema: z.ZodType<Value>,
  value: unknown,
): Either<InvalidInputError, Value> {
  const parsed = schema.safeParse(value);
  if (parsed.success) return Right(parsed.data);
  const issues = parsed.error.issues.map(issue => ({
    path: issue.path.join('.'),
    message: issue.message,
  }));
  const [first] = issues;
  const where = first?.path ? `${first.path}: ` : '';
  const message = `${where}${first?.message ?? 'invalid'}`;
  return Left(InvalidInputError.create(message, {issues}));
}
