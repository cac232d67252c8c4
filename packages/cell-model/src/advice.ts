/** Answer of the advice service: which of the named workers may run a step. */
export interface Advice {
  /** Ticket by worker ID, for the approved workers only. */
  tickets: ReadonlyMap<string, string>;
  validMilliseconds: number;
}
