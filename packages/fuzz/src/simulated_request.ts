import type {RequestView} from '@cardamomfield/peer-protocol';
import type {FinalAnswer, Submission} from '@cardamomfield/types';

/** One call for a request, with the answer that its caller received. */
export class SimulatedRequest {
  answer: FinalAnswer | undefined;
  /** Signals of the called entry hosts; each aborts when its host is killed. */
  readonly calledHosts: AbortSignal[] = [];
  /** Code of the final error that the caller received instead of an answer. */
  failure: string | undefined;
  view: RequestView | undefined;

  private constructor(
    readonly submission: Submission,
    readonly isKeyChosen: boolean,
  ) {}

  static create(
    submission: Submission,
    isKeyChosen: boolean,
  ): SimulatedRequest {
    return new SimulatedRequest(submission, isKeyChosen);
  }

  get key(): string {
    return this.submission.key;
  }

  /** Whether the caller can still obtain the outcome of the request. */
  canGetOutcome(): boolean {
    const isServed = this.calledHosts.some(signal => !signal.aborted);
    return this.isKeyChosen || isServed;
  }

  /** Whether the caller has received an answer or a final error. */
  isFinished(): boolean {
    return this.answer !== undefined || this.failure !== undefined;
  }
}
