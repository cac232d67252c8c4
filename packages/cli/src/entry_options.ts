import type {Argv} from 'yargs';
import type {EntryConnection} from './entry_connection.js';

/** Exceeds the 10 s that an entry host waits for the verdict on a change. */
const DEFAULT_TIMEOUT_SECONDS = 15;

/** Adds the options of all subcommands that talk to entry hosts. */
export function entryOptions(yargs: Argv): Argv<EntryConnection> {
  return yargs
    .option('entry', {
      type: 'string',
      array: true,
      requiresArg: true,
      describe: 'Base URL of an entry host; repeatable [CARDAMOMFIELD_ENTRY]',
    })
    .option('timeout-seconds', {
      type: 'number',
      default: DEFAULT_TIMEOUT_SECONDS,
      describe: 'Longest wait for one answer',
    })
    .option('json', {
      type: 'boolean',
      default: false,
      describe: 'Print JSON',
    }) as unknown as Argv<EntryConnection>;
}
