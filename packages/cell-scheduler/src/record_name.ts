/** What the key of a record names; numbers are NaN where it has none. */
export interface RecordName {
  kind: 'ending' | 'submission' | 'progress' | 'range';
  id: string;
  occurrence: number;
  step: number;
  /** Range of the step's tasks; 0 for the progress of a whole step. */
  range: number;
}
