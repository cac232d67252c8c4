import {InvalidInputError} from '@cardamomfield/errors';
import {type Either, Left, Right} from 'purify-ts';
import type {z} from 'zod';

/** Validates a value; the error contains the path and cause of each issue. */
export function validate<Value>(
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
  const prefix = first?.path ? `${first.path}: ` : '';
  const message = `${prefix}${first?.message ?? 'invalid'}`;
  return Left(InvalidInputError.create(message, {issues}));
}
