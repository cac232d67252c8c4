import type {Dispatcher} from 'undici';

/** A whole answer, or why there is none. */
type Outcome = {status: number; body: Buffer} | {thrown: unknown};

/**
 * Collects the answer to one call as it arrives. It is handed to the
 * connection itself: streams and abort signals for each call took more
 * processor time than the call.
 */
export class PendingAnswer implements Dispatcher.DispatchHandler {
  private controller: Dispatcher.DispatchController | undefined;
  private status = 0;
  private readonly chunks: Buffer[] = [];
  private isOver = false;

  private constructor(private readonly onOutcome: (value: Outcome) => void) {}

  /** `onOutcome` is called once; never after `abort`. */
  static create(onOutcome: (value: Outcome) => void): PendingAnswer {
    return new PendingAnswer(onOutcome);
  }

  get isSettled(): boolean {
    return this.isOver;
  }

  /** Gives the call up, also one that still waits for a connection. */
  abort(reason: Error): void {
    this.isOver = true;
    this.controller?.abort(reason);
  }

  onRequestStart(controller: Dispatcher.DispatchController): void {
    this.controller = controller;
    if (this.isOver) controller.abort(new Error('given up before it was sent'));
  }

  onResponseStart(
    _controller: Dispatcher.DispatchController,
    status: number,
  ): void {
    this.status = status;
  }

  onResponseData(
    _controller: Dispatcher.DispatchController,
    chunk: Buffer,
  ): void {
    this.chunks.push(chunk);
  }

  onResponseEnd(): void {
    const [first] = this.chunks;
    const body =
      first && this.chunks.length === 1 ? first : Buffer.concat(this.chunks);
    this.settle({status: this.status, body});
  }

  onResponseError(
    _controller: Dispatcher.DispatchController,
    thrown: Error,
  ): void {
    this.settle({thrown});
  }

  private settle(outcome: Outcome): void {
    if (this.isOver) return;
    this.isOver = true;
    this.onOutcome(outcome);
  }
}
