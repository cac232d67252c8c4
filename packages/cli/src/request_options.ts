import type {Argv} from 'yargs';
import {entryOptions} from './entry_options.js';

/** Adds the options of the subcommands for one request. */
export function requestOptions(yargs: Argv) {
  return entryOptions(yargs).positional('key', {
    type: 'string',
    demandOption: true,
    describe: 'Key of the request',
  });
}
