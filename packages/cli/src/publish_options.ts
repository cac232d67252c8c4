import type {Argv} from 'yargs';
import {entryOptions} from './entry_options.js';

/** Adds the options of the subcommands that publish a file. */
export function publishOptions(yargs: Argv) {
  return entryOptions(yargs)
    .positional('file', {type: 'string', demandOption: true})
    .option('editor', {
      type: 'string',
      demandOption: true,
      requiresArg: true,
      describe: 'Who makes the change; named to editors who come later',
    })
    .option('base', {
      type: 'number',
      describe: 'Version that the file was edited from; default: the latest',
    })
    .option('keep-others', {
      type: 'boolean',
      default: false,
      describe: 'Leave items alone that are not in the file',
    });
}
