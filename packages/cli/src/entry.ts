import {
  describeSettings,
  formatSettings,
  readEntrySettings,
} from '@cardamomfield/settings';
import type {Argv} from 'yargs';
import type {CommandRun} from './command_run.js';
import {defineCommand} from './define_command.js';
import {ExitCode} from './exit_code.js';
import {reportError} from './report_error.js';

const PRINT_FLAG = '--print-settings';
const COMMAND = 'entry';

/**
 * `cardamomfield entry`. It gets the unparsed arguments, because the settings
 * package parses them.
 */
export function entry(argumentList: readonly string[]) {
  return defineCommand({
    command: COMMAND,
    describe: 'Run the daemon of an entry host',
    example: [
      'entry --process-name entry-1 --region amhara --availability-zone a --log-service-url http://10.0.0.9:9000 --host-list-url http://10.0.0.9:9001',
      'Start with defaults',
    ],
    options: settingOptions,
    execute: async (_options, run) => execute(argumentList, run),
  });
}

async function execute(
  argumentList: readonly string[],
  run: CommandRun,
): Promise<ExitCode> {
  const {context} = run;
  const entryArguments = argumentList.slice(argumentList.indexOf(COMMAND) + 1);
  const flags = entryArguments.filter(argument => argument !== PRINT_FLAG);
  const settings = readEntrySettings({
    arguments: flags,
    environment: context.environment,
  });
  if (settings.isLeft()) {
    return reportError(run, settings.swap().unsafeCoerce(), false);
  }
  if (flags.length < entryArguments.length) {
    context.writeLine(formatSettings(settings.unsafeCoerce()));
    return ExitCode.ok;
  }
  await context.runEntryHost(settings.unsafeCoerce());
  return ExitCode.ok;
}

/**
 * Declares the flags for help and completion only. The settings package reads
 * their values.
 */
function settingOptions(yargs: Argv) {
  const described = describeSettings().reduce(
    (options, setting) =>
      options.option(setting.flag, {
        type: 'string',
        describe: setting.description,
        ...(setting.fallback && {defaultDescription: setting.fallback}),
      }),
    yargs,
  );
  return described
    .option('print-settings', {
      type: 'boolean',
      describe: 'Print the settings in force and exit',
    })
    .strict(false);
}
