import type {CommandModule} from 'yargs';
import type {CommandRun} from './command_run.js';

type CommandFactory = (run: CommandRun) => CommandModule<object, object>;

/** A command that only groups subcommands. */
export function defineGroup(
  command: string,
  describe: string,
  subcommands: readonly CommandFactory[],
): CommandFactory {
  return run => ({
    command,
    describe,
    builder: yargs =>
      subcommands
        .reduce((group, create) => group.command(create(run)), yargs)
        .demandCommand(1, 'Name a subcommand.'),
    handler: () => {},
  });
}
