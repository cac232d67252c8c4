import type {StepState} from './step_state.js';

/**
 * Capacity that the queries under way are expected to take. The answer to a
 * query takes a while, and until then nothing else shows that its step is about
 * to use the workers that it names.
 */
export class AdviceClaims {
  /** Expected millicores by worker ID, for each step that is queried. */
  private readonly byStep = new Map<StepState, ReadonlyMap<string, number>>();
  private readonly totals = new Map<string, number>();

  private constructor() {}

  static create(): AdviceClaims {
    return new AdviceClaims();
  }

  add(step: StepState, claims: ReadonlyMap<string, number>): void {
    this.byStep.set(step, claims);
    this.count(claims);
  }

  /** Drops the claims of queries that were answered or not sent. */
  dropEnded(): void {
    const ended = [...this.byStep.keys()].filter(
      step => !step.advice.isQueryInFlight,
    );
    if (ended.length === 0) return;
    for (const step of ended) this.byStep.delete(step);
    this.totals.clear();
    for (const claims of this.byStep.values()) this.count(claims);
  }

  milliCoresOn(workerId: string): number {
    return this.totals.get(workerId) ?? 0;
  }

  private count(claims: ReadonlyMap<string, number>): void {
    for (const [id, milliCores] of claims) {
      this.totals.set(id, this.milliCoresOn(id) + milliCores);
    }
  }
}
