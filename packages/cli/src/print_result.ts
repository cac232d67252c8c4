import type {TypedError} from '@cardamomfield/errors';
import type {Either} from 'purify-ts';
import type {CommandRun} from './command_run.js';
import {ExitCode} from './exit_code.js';
import {reportError} from './report_error.js';

/** Prints a value as JSON or as the given lines, or reports the failure. */
export function printResult<Value>(
  run: CommandRun,
  json: boolean,
  result: Either<TypedError, Value>,
  format: (value: Value) => readonly string[],
): ExitCode {
  return result.caseOf<ExitCode>({
    Left: error => reportError(run, error, json),
    Right: value => {
      const lines = json ? [JSON.stringify(value)] : format(value);
      for (const line of lines) run.context.writeLine(line);
      return ExitCode.ok;
    },
  });
}
