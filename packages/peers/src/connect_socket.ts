import {connect, type Socket} from 'node:net';
import {UnavailableError} from '@cardamomfield/errors';
import {type Either, Left, Right} from 'purify-ts';

/** Opens a TCP connection; fails when the signal aborts. */
export function connectSocket(
  address: string,
  port: number,
  signal: AbortSignal,
): Promise<Either<UnavailableError, Socket>> {
  return new Promise(resolve => {
    const socket = connect({host: address, port});
    const finish = (outcome: Either<UnavailableError, Socket>) => {
      signal.removeEventListener('abort', fail);
      resolve(outcome);
    };
    const fail = (cause?: unknown) => {
      socket.destroy();
      const message = `cannot connect to ${address}:${port}`;
      const details = {address, port};
      finish(Left(UnavailableError.create(message, details, cause)));
    };
    socket.once('error', fail);
    signal.addEventListener('abort', fail);
    socket.once('connect', () => {
      socket.removeListener('error', fail);
      finish(Right(socket));
    });
    if (signal.aborted) fail();
  });
}
