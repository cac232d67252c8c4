import {
  RefusedError,
  type TypedError,
  UncertainError,
} from '@cardamomfield/errors';
import type {PeerMethod} from '@cardamomfield/peer-protocol';
import {type Either, Left, Right} from 'purify-ts';
import {WireAnswer} from './wire_answer.js';

/**
 * Returns the result in an answer. An answer that does not match its schema
 * gives an `UncertainError`, because the handler has run.
 */
export function decodeAnswer<Parameters, Result>(
  peer: string,
  method: PeerMethod<Parameters, Result>,
  received: unknown,
): Either<TypedError, Result> {
  const answer = WireAnswer.safeParse(received);
  if (!answer.success) return Left(malformed(peer, method.name));
  if (answer.data.outcome === 'done') {
    const result = method.result.safeParse(answer.data.value);
    if (!result.success) return Left(malformed(peer, method.name));
    return Right(result.data);
  }
  const {code, message, details} = answer.data.failure;
  const context = {...details, peer, method: method.name, code};
  return Left(
    answer.data.outcome === 'refused'
      ? RefusedError.create(message, context)
      : UncertainError.create(message, context),
  );
}

function malformed(peer: string, method: string): UncertainError {
  return UncertainError.create(
    `answer of "${peer}" to "${method}" does not match its schema`,
    {peer, method, reason: 'malformed-answer'},
  );
}
