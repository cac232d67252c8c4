import type {IncomingMessage} from 'node:http';
import {type Either, Left, Right} from 'purify-ts';
import {BodyBlocks} from './body_blocks.js';
import {BodyError} from './body_error.js';
import type {ClientLimits} from './client_limits.js';
import {closesAfterAnswer} from './closes_after_answer.js';

interface ReadBodyOptions {
  limits: ClientLimits;
  /** Name of the server in metrics and log lines. */
  server: string;
  maximumBytes: number;
  /** Share of the process's budget that bodies of this server may take. */
  budgetShare: number;
}

/**
 * Reads a body within the limits. After a refusal the guarded server closes the
 * connection once the answer is sent, unless the rest is small.
 */
export function readBody(
  request: IncomingMessage,
  options: ReadBodyOptions,
): Promise<Either<BodyError, Buffer>> {
  const {limits, server, maximumBytes, budgetShare} = options;
  return new Promise(resolve => {
    const blocks = BodyBlocks.create();
    const endsAt = performance.now() + limits.bodyMilliseconds;
    let progressedAt = performance.now();
    let bytes = 0;
    let taken = 0;
    let isSettled = false;
    const settle = (result: Either<BodyError, Buffer>) => {
      isSettled = true;
      clearTimeout(timer);
      limits.budget.release(taken);
      taken = 0;
      request.off('data', onData).off('end', onEnd).off('close', onClose);
      resolve(result);
    };
    const refuse = (error: BodyError) => {
      if (isSettled) return;
      if (error.reason !== 'incomplete') {
        limits.reporter?.note(
          server,
          `body ${error.reason}`,
          request.socket.remoteAddress,
        );
      }
      settle(Left(error));
      // A large rest is not read before the answer is sent, and then in part.
      if (closesAfterAnswer(request)) request.pause();
      else request.resume();
    };
    const onData = (chunk: Buffer) => {
      progressedAt = performance.now();
      bytes += chunk.length;
      if (bytes > maximumBytes) {
        refuse(BodyError.create('too-large'));
        return;
      }
      blocks.add(chunk);
      const more = blocks.heldBytes - taken;
      if (more === 0) return;
      if (!limits.budget.take(more, budgetShare)) {
        refuse(BodyError.create('no-memory'));
        return;
      }
      taken += more;
    };
    const onEnd = () => settle(Right(blocks.join()));
    const onClose = () => refuse(BodyError.create('incomplete'));
    let isAfterInput = false;
    const onTimer = () => {
      const stalledAt = progressedAt + limits.bodyProgressMilliseconds;
      const left = Math.min(endsAt, stalledAt) - performance.now();
      if (left > 0) {
        isAfterInput = false;
        timer = setTimeout(onTimer, left);
      } else if (isAfterInput) {
        refuse(BodyError.create('too-slow'));
      } else {
        // After a pause of the process its timers fire before it reads.
        isAfterInput = true;
        timer = setTimeout(() => setImmediate(onTimer), 0);
      }
    };
    let timer = setTimeout(onTimer, limits.bodyProgressMilliseconds);
    if (Number(request.headers['content-length']) > maximumBytes) {
      refuse(BodyError.create('too-large'));
      return;
    }
    // Without `data` listeners of its own a stream would keep each chunk.
    request.on('data', onData).on('end', onEnd).on('close', onClose);
    request.on('error', () => {});
  });
}
