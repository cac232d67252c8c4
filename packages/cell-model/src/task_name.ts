/** Name of a task: submission, occurrence, step and index within the step. */
export interface TaskName {
  submissionId: string;
  occurrence: number;
  step: number;
  index: number;
}
