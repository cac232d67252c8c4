import type {TypedError} from '@cardamomfield/errors';
import {ExitCode} from './exit_code.js';

/** Exit codes by the code of a failure; any other failure is a refusal. */
const CODES: Readonly<Record<string, ExitCode>> = {
  'invalid-input': ExitCode.usage,
  'invalid-setting': ExitCode.usage,
  uncertain: ExitCode.unknown,
  unavailable: ExitCode.unavailable,
  'deadline-exceeded': ExitCode.unavailable,
};

/** The exit code that tells a script what a failure means. */
export function exitCodeOfError(error: TypedError): ExitCode {
  return CODES[error.code] ?? ExitCode.refused;
}
