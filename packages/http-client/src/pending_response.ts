import {BodyBlocks} from '@cardamomfield/client-limits';
import type {CallDeadline} from '@cardamomfield/clock';
import {UnavailableError} from '@cardamomfield/errors';
import type {Dispatcher} from 'undici';
import type {CallRelease} from './call_release.js';

/** The complete response, or the error if there is none. */
type Outcome = {status: number; body: Buffer} | {thrown: unknown};

/**
 * Buffers the response to one call. It is passed to Undici as the dispatch
 * handler, because a stream and an abort signal for each call took more
 * processor time than the call itself.
 */
export class PendingResponse implements Dispatcher.DispatchHandler {
  private controller: Dispatcher.DispatchController | undefined;
  private status = 0;
  private readonly blocks = BodyBlocks.create();
  private bytes = 0;
  private isOver = false;
  private onLateResponse: (() => void) | undefined;
  /** Called once a call that was dispatched takes no connection any more. */
  onReleased: (release: CallRelease) => void = () => undefined;

  private constructor(
    private readonly deadline: CallDeadline,
    private readonly maximumBytes: number,
    private readonly onOutcome: (value: Outcome) => void,
  ) {}

  /** `onOutcome` is called at most once, and never after `abort`. */
  static create(
    deadline: CallDeadline,
    maximumBytes: number,
    onOutcome: (value: Outcome) => void,
  ): PendingResponse {
    return new PendingResponse(deadline, maximumBytes, onOutcome);
  }

  get isSettled(): boolean {
    return this.isOver;
  }

  /** True once the call must not be sent any more. */
  get isExpired(): boolean {
    return this.deadline.hasPassed;
  }

  /** True once the request has been written to a connection. */
  get isSent(): boolean {
    return this.controller !== undefined;
  }

  /**
   * Ends the call for its caller. A request that was sent keeps its connection,
   * and `onLateResponse` is called when the response ends.
   */
  abandon(onLateResponse: () => void): void {
    this.isOver = true;
    this.onLateResponse = onLateResponse;
  }

  /** Aborts the call, even if it is still waiting for a connection. */
  abort(reason: Error): void {
    this.isOver = true;
    this.controller?.abort(reason);
  }

  /** Called right before the request is written to its connection. */
  onRequestStart(controller: Dispatcher.DispatchController): void {
    // An exception ends this call and keeps the connection, unlike an abort.
    if (this.deadline.hasPassed) {
      throw UnavailableError.create('the time limit passed before sending');
    }
    this.controller = controller;
    if (this.isOver) controller.abort(new Error('aborted before it was sent'));
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
    if (this.bytes > this.maximumBytes) {
      const error = new Error('the response exceeds its maximum size');
      this.settle({thrown: error});
      controller.abort(error);
      return;
    }
    // A late response has no reader; only its end matters.
    if (!this.isOver) this.blocks.add(chunk);
  }

  onResponseEnd(): void {
    this.onLateResponse?.();
    this.onReleased('answered');
    if (this.isOver) return;
    this.settle({status: this.status, body: this.blocks.join()});
  }

  onResponseError(
    _controller: Dispatcher.DispatchController,
    thrown: Error,
  ): void {
    this.onReleased(thrown instanceof UnavailableError ? 'unsent' : 'failed');
    this.settle({thrown});
  }

  private settle(outcome: Outcome): void {
    if (this.isOver) return;
    this.isOver = true;
    this.onOutcome(outcome);
  }
}
