import {InvalidInputError} from '@cardamomfield/errors';
import type {PeerMethod} from '@cardamomfield/peer-protocol';
import {type Either, Left, Right} from 'purify-ts';

/** Checks parameters against the schema and returns them as JSON values. */
export function encodeParameters<Parameters, Result>(
  method: PeerMethod<Parameters, Result>,
  parameters: Parameters,
): Either<InvalidInputError, unknown> {
  const checked = method.parameters.safeParse(parameters);
  if (!checked.success) {
    return Left(
      InvalidInputError.create(
        `parameters of "${method.name}" do not match their schema`,
        {method: method.name, issues: checked.error.issues},
        checked.error,
      ),
    );
  }
  return Right(checked.data);
}
