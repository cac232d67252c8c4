import type {TypedError} from '@cardamomfield/errors';
import type {Either} from 'purify-ts';
import type {Advice} from './advice.js';

/** Asks the advice service which workers may run a step. */
export interface Adviser {
  ask(
    stepName: string,
    workerIds: string[],
    timeoutMilliseconds: number,
  ): Promise<Either<TypedError, Advice>>;
}
