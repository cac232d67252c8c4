import type {SubmissionState} from '@cardamomfield/cell-model';
import {NotFoundError, type TypedError} from '@cardamomfield/errors';
import type {Either} from 'purify-ts';
import type {RunLedger} from './run_ledger.js';

/** What callers had been told about a submission when one of them asked. */
interface KnownAnswers {
  isAccepted: boolean;
  /** Whether its cancellation was acknowledged. */
  isCancelled: boolean;
  finalState: SubmissionState | undefined;
}

/** What is known about the failed runs of a submission. */
interface SubmissionFailures {
  /** Failed runs of its task or gang that has most of them. */
  failedRuns: (id: string) => number;
  maximumAttempts: (id: string) => number;
}

/** Records what callers were told, and every answer that contradicts another. */
export class AnswerLedger {
  /** Submissions whose acceptance a caller was told. */
  readonly accepted = new Set<string>();
  /** Number of answers that name a state or say that there is none. */
  shown = 0;
  private readonly cancelRequested = new Set<string>();
  /** The first final state that a caller was shown, by submission. */
  private readonly finalStates = new Map<string, SubmissionState>();

  private constructor(
    private readonly runs: RunLedger,
    private readonly failures: SubmissionFailures,
  ) {}

  static create(runs: RunLedger, failures: SubmissionFailures): AnswerLedger {
    return new AnswerLedger(runs, failures);
  }

  /** Records that a caller is about to cancel a submission. */
  recordCancelRequest(id: string): void {
    this.cancelRequested.add(id);
  }

  /** Callers take success and `NotFoundError` alike for an acknowledgement. */
  recordCancelAnswer(
    id: string,
    answer: Either<TypedError, unknown>,
    now: number,
  ): void {
    if (answer.isRight() || answer.extract() instanceof NotFoundError) {
      this.runs.recordCancelAcknowledgement(id, now);
    }
  }

  /** What callers know about a submission; read before one of them asks. */
  knownAnswers(id: string): KnownAnswers {
    return {
      isAccepted: this.accepted.has(id),
      isCancelled: this.runs.isCancelAcknowledged(id),
      finalState: this.finalStates.get(id),
    };
  }

  /** Checks the answer to a caller that asked when `known` was known. */
  recordShown(
    id: string,
    known: KnownAnswers,
    answer: Either<TypedError, {state: SubmissionState}>,
  ): void {
    const isUnknown = answer.extract() instanceof NotFoundError;
    if (answer.isRight() || isUnknown) this.shown++;
    if (answer.isRight()) {
      const {state} = answer.unsafeCoerce();
      if (state === 'queued' || state === 'running') {
        this.checkUnfinished(id, known, state);
      } else {
        this.checkFinal(id, state);
      }
    } else if (isUnknown) {
      this.checkUnknown(id, known);
    }
  }

  private checkUnknown(id: string, known: KnownAnswers): void {
    if (!known.isAccepted) return;
    if (!this.cancelRequested.has(id)) {
      this.report(id, 'unknown although it is accepted and not cancelled');
    } else if (known.finalState) {
      this.report(id, `unknown after it was shown as ${known.finalState}`);
    }
  }

  private checkUnfinished(
    id: string,
    known: KnownAnswers,
    state: SubmissionState,
  ): void {
    if (known.finalState) {
      this.report(id, `${state} after it was shown as ${known.finalState}`);
    } else if (known.isCancelled) {
      this.report(id, `${state} after its cancellation was acknowledged`);
    }
  }

  /** Final states never change, whatever the order in which callers asked. */
  private checkFinal(id: string, state: SubmissionState): void {
    const earlier = this.finalStates.get(id);
    if (earlier && earlier !== state) {
      this.report(id, `${state} and as ${earlier}`);
    }
    if (state === 'cancelled' && !this.cancelRequested.has(id)) {
      this.report(id, 'cancelled although nobody cancelled it');
    }
    if (state === 'failed') this.checkFailed(id);
    if (!earlier) this.finalStates.set(id, state);
  }

  private checkFailed(id: string): void {
    const failedRuns = this.failures.failedRuns(id);
    const maximumAttempts = this.failures.maximumAttempts(id);
    if (failedRuns >= maximumAttempts) return;
    this.report(id, `failed after ${failedRuns} of ${maximumAttempts} runs`);
  }

  private report(id: string, shownAs: string): void {
    this.runs.violations.push(`${id} was shown as ${shownAs}`);
  }
}
