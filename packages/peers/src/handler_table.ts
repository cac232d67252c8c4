import {
  InternalError,
  InvalidInputError,
  NotFoundError,
  toTypedError,
  type TypedError,
} from '@cardamomfield/errors';
import type {PeerMethod} from '@cardamomfield/peer-protocol';
import type {FailureDescription} from '@cardamomfield/types';
import type {Either} from 'purify-ts';
import type {PeerIdentity} from './peer_identity.js';
import type {WireAnswer} from './wire_answer.js';

type WireHandler = (
  peer: PeerIdentity,
  parameters: unknown,
) => Promise<WireAnswer>;

/** Handlers of the procedures that this process offers, by procedure name. */
export class HandlerTable {
  private readonly handlers = new Map<string, WireHandler>();

  private constructor() {}

  static create(): HandlerTable {
    return new HandlerTable();
  }

  /** Adds a handler. Throws if the procedure already has one. */
  set<Parameters, Result>(
    method: PeerMethod<Parameters, Result>,
    handler: (
      peer: PeerIdentity,
      parameters: Parameters,
    ) => Promise<Either<TypedError, Result>>,
  ): void {
    if (this.handlers.has(method.name)) {
      throw InternalError.create(
        `procedure "${method.name}" already has a handler`,
        {method: method.name},
      );
    }
    this.handlers.set(method.name, async (peer, received) => {
      const parameters = method.parameters.safeParse(received);
      if (!parameters.success) {
        return refused(
          InvalidInputError.create(
            `parameters of "${method.name}" do not match their schema`,
            {issues: parameters.error.issues},
          ),
        );
      }
      const outcome = await handler(peer, parameters.data);
      return outcome.caseOf<WireAnswer>({
        Left: refused,
        Right: value => ({
          outcome: 'done',
          value: method.result.parse(value),
        }),
      });
    });
  }

  /** Runs a procedure with parameters from the wire. Never rejects. */
  async run(
    peer: PeerIdentity,
    name: string,
    parameters: unknown,
  ): Promise<WireAnswer> {
    const handler = this.handlers.get(name);
    if (!handler) {
      return refused(
        NotFoundError.create(`procedure "${name}" has no handler`, {
          method: name,
        }),
      );
    }
    try {
      return await handler(peer, parameters);
    } catch (thrown) {
      return {
        outcome: 'faulted',
        failure: describeFailure(toTypedError(thrown)),
      };
    }
  }
}

function refused(error: TypedError): WireAnswer {
  return {outcome: 'refused', failure: describeFailure(error)};
}

/** Omits details that JSON cannot represent, such as cycles. */
function describeFailure(error: TypedError): FailureDescription {
  const {code, message, details} = error.toJSON();
  try {
    return {code, message, details: JSON.parse(JSON.stringify(details))};
  } catch {
    return {code, message};
  }
}
