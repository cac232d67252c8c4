import type {RequestView} from '@cardamomfield/peer-protocol';
import type {FinalAnswer, Submission} from '@cardamomfield/types';

/** One call for a request, with the answer that its caller got. */
export class SimulatedRequest {
  answer: FinalAnswer | undefined;
  /** Signals of the entry hosts that were called; each aborts on death. */
  readonly calledHosts: AbortSignal[] = [];
  /** Whether the caller saw an invalid-input or conflict failure instead. */
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

  /** Whether the caller can still learn how the request ends. */
  canLearn(): boolean {
    const isServed = this.calledHosts.some(signal => !signal.aborted);
    return this.isKeyChosen || isServed;
  }

  /** Whether the caller knows how the request ended. */
  isOver(): boolean {
    return this.answer !== undefined || this.failure !== undefined;
  }
}
