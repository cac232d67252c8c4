import {connect, type Socket} from 'node:net';
import {UnavailableError} from '@cardamomfield/errors';
import {type Either, Left, Right} from 'purify-ts';

/** Opens a TCP connection; gives up when the signal aborts. */
export function connectSocket(
  address: string,
  port: number,
  signal: AbortSignal,
): Promise<Either<UnavailableError, Socket>> {
  return new Promise(resolve => {
    const socket = connect({host: address, port});
    const finish = (outcome: Either<UnavailableError, Socket>) => {
      signal.removeEventListener('abort', abandon);
      resolve(outcome);
    };
    const abandon = (cause?: unknown) => {
      socket.destroy();
      const message = `cannot connect to ${address}:${port}`;
      const details = {address, port};
      finish(Left(UnavailableError.create(message, details, cause)));
    };
    socket.once('error', abandon);
    signal.addEventListener('abort', abandon);
    socket.once('connect', () => {
      socket.removeListener('error', abandon);
      finish(Right(socket));
    });
    if (signal.aborted) abandon();
  });
}
