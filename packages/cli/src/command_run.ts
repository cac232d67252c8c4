import type {CommandContext} from './command_context.js';
import type {ExitCode} from './exit_code.js';

/** One run of the command; the subcommand sets the exit code. */
export interface CommandRun {
  readonly context: CommandContext;
  exitCode: ExitCode;
}
