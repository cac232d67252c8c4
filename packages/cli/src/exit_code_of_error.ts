import type {TypedError} from '@cardamomfield/errors';
import {ExitCode} from './exit_code.js';

/** Exit codes by error code; all other errors count as refusals. */
const EXIT_CODES: Readonly<Record<string, ExitCode>> = {
  'invalid-input': ExitCode.usage,
  'invalid-setting': ExitCode.usage,
  uncertain: ExitCode.unknown,
  unavailable: ExitCode.unavailable,
  'deadline-exceeded': ExitCode.unavailable,
};

export function exitCodeOfError(error: TypedError): ExitCode {
  return EXIT_CODES[error.code] ?? ExitCode.refused;
}
