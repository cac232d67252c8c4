/** Source of randomness; a seeded source makes a run reproducible. */
export interface RandomSource {
  /** A uniform integer from 0 (included) to `bound` (excluded). */
  integerBelow(bound: number): number;

  /** A uniform number from 0 (included) to 1 (excluded). */
  fraction(): number;
}
