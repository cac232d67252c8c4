import type {CommandRun} from './command_run.js';
import {ExitCode} from './exit_code.js';
import {formatValue} from './format_value.js';
import type {RequestView} from './request_view.js';

/** Exit codes by the outcome of a request. */
const EXIT_CODES = {
  ran: ExitCode.ok,
  'not-run': ExitCode.refused,
  unknown: ExitCode.unknown,
} as const;

/** Prints a request; an unfinished one has the exit code for success. */
export function printRequestView(
  {context}: CommandRun,
  view: RequestView,
  json: boolean,
): ExitCode {
  const lines = json ? [JSON.stringify(view)] : formatValue(view);
  for (const line of lines) context.writeLine(line);
  return view.answer ? EXIT_CODES[view.answer.outcome] : ExitCode.ok;
}
