import {RefusedError} from '@cardamomfield/errors';

/**
 * True when a worker with another ID refused the call. One process listens at
 * an address, so the worker that the call was meant for has ended.
 */
export function isFromOtherWorker(error: unknown): boolean {
  return error instanceof RefusedError && error.details.reason === 'other-life';
}
