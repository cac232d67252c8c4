import type {TypedError} from '@cardamomfield/errors';
import type {CommandRun} from './command_run.js';
import type {ExitCode} from './exit_code.js';
import {exitCodeOfError} from './exit_code_of_error.js';

/** Prints an error and returns the exit code for it. */
export function reportError(
  {context}: CommandRun,
  error: TypedError,
  json: boolean,
): ExitCode {
  if (json) context.writeLine(JSON.stringify({error}));
  else context.writeErrorLine(`${error.code}: ${error.message}`);
  return exitCodeOfError(error);
}
