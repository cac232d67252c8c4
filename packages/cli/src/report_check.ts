import {
  type ConfigurationDelta,
  checkChange,
} from '@cardamomfield/configuration';
import {InvalidInputError} from '@cardamomfield/errors';
import type {ConfigurationState} from '@cardamomfield/types';
import type {CommandRun} from './command_run.js';
import {ExitCode} from './exit_code.js';
import {reportError} from './report_error.js';

interface Check {
  file: string;
  inForce: ConfigurationState;
  delta: ConfigurationDelta;
  json: boolean;
}

/** Prints whether a file's change would be accepted on a configuration. */
export function reportCheck(
  run: CommandRun,
  {file, inForce, delta, json}: Check,
): ExitCode {
  const refusal = checkChange(inForce, delta);
  if (refusal) {
    const message = `${file}: ${refusal.message}`;
    return reportError(run, InvalidInputError.create(message), json);
  }
  run.context.writeLine(
    json ? JSON.stringify({valid: true}) : `${file}: valid`,
  );
  return ExitCode.ok;
}
