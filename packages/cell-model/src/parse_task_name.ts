import type {TaskName} from './task_name.js';

const TASK_NAME = /^([^.]+)\.(\d+)\.(\d+)\.(\d+)$/;

/** Parses a name such as `5c0e7a21d94b36f8.0.1.17`; undefined if malformed. */
export function parseTaskName(name: string): TaskName | undefined {
  const match = TASK_NAME.exec(name);
  if (!match) return undefined;
  const [, submissionId, occurrence, step, index] = match;
  return {
    submissionId: submissionId ?? '',
    occurrence: Number(occurrence),
    step: Number(step),
    index: Number(index),
  };
}
