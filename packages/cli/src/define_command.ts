import {toTypedError} from '@cardamomfield/errors';
import type {ArgumentsCamelCase, Argv, CommandModule} from 'yargs';
import type {CommandRun} from './command_run.js';
import type {ExitCode} from './exit_code.js';
import {reportError} from './report_error.js';

interface CommandDefinition<Options> {
  /** Name and positional arguments in the notation of yargs. */
  command: string;
  describe: string;
  /** Arguments after `cardamomfield` and what they do. */
  example: readonly [string, string];
  options: (yargs: Argv) => Argv<Options>;
  /** Does the work and returns the exit code. */
  execute: (
    options: ArgumentsCamelCase<Options>,
    run: CommandRun,
  ) => Promise<ExitCode>;
}

/** Defines a subcommand; its failures become messages and exit codes. */
export function defineCommand<Options>(
  definition: CommandDefinition<Options>,
): (run: CommandRun) => CommandModule<object, object> {
  const [example, description] = definition.example;
  return run => ({
    command: definition.command,
    describe: definition.describe,
    builder: yargs =>
      definition
        .options(yargs as Argv)
        .example(`$0 ${example}`, description) as Argv<object>,
    handler: async options => {
      try {
        const given = options as ArgumentsCamelCase<Options>;
        run.exitCode = await definition.execute(given, run);
      } catch (thrown) {
        run.exitCode = reportError(run, toTypedError(thrown), false);
      }
    },
  });
}
