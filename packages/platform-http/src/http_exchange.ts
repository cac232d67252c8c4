import {BodyBlocks} from '@cardamomfield/client-limits';
import {
  type TypedError,
  UnavailableError,
  UncertainError,
} from '@cardamomfield/errors';
import {type Either, Left, Right} from 'purify-ts';
import type {Dispatcher} from 'undici';

/**
 * Most bytes of an answer. The largest are pages of the platform's log, whose
 * records have up to a megabyte.
 */
const MAXIMUM_RESPONSE_BYTES = 64_000_000;

interface HttpResponse {
  status: number;
  text: string;
}

/**
 * One request on a connection pool. Undici calls `onRequestStart` immediately
 * before it writes to a connected socket, so a failure before that call proves
 * that nothing was sent.
 */
export class HttpExchange implements Dispatcher.DispatchHandler {
  readonly finished: Promise<Either<TypedError, HttpResponse>>;
  private finish!: (result: Either<TypedError, HttpResponse>) => void;
  private controller: Dispatcher.DispatchController | undefined;
  private isCancelled = false;
  private status = 0;
  private readonly blocks = BodyBlocks.create();
  private bytes = 0;

  private constructor(private readonly target: string) {
    this.finished = new Promise(resolve => {
      this.finish = resolve;
    });
  }

  static create(target: string): HttpExchange {
    return new HttpExchange(target);
  }

  /** Fails the exchange at its deadline; an unsent request is never sent. */
  expire(): void {
    this.isCancelled = true;
    this.fail(new Error('the deadline passed'));
    this.controller?.abort(new Error('the deadline passed'));
  }

  onRequestStart(controller: Dispatcher.DispatchController): void {
    if (this.isCancelled) {
      controller.abort(new Error('the deadline passed'));
      return;
    }
    this.controller = controller;
  }

  onResponseStart(
    _controller: Dispatcher.DispatchController,
    status: number,
  ): void {
    this.status = status;
  }

  onResponseData(
    controller: Dispatcher.DispatchController,
    chunk: Buffer,
  ): void {
    this.bytes += chunk.length;
    if (this.bytes > MAXIMUM_RESPONSE_BYTES) {
      const error = new Error('the answer exceeds its maximum size');
      this.fail(error);
      controller.abort(error);
      return;
    }
    this.blocks.add(chunk);
  }

  onResponseEnd(): void {
    const text = this.blocks.join().toString('utf8');
    this.finish(Right({status: this.status, text}));
  }

  onResponseError(
    _controller: Dispatcher.DispatchController,
    error: Error,
  ): void {
    this.fail(error);
  }

  private fail(cause: Error): void {
    const details = {target: this.target, cause: cause.message};
    const failure = this.controller
      ? UncertainError.create('no answer to a sent request', details, cause)
      : UnavailableError.create('the request was not sent', details, cause);
    this.finish(Left(failure));
  }
}
