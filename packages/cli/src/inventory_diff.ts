import {InventoryFile, inventoryChange} from '@cardamomfield/configuration';
import {createClient} from './create_client.js';
import {defineCommand} from './define_command.js';
import {entryOptions} from './entry_options.js';
import {formatDelta} from './format_delta.js';
import {getConfiguration} from './get_configuration.js';
import {readFileAs} from './read_file_as.js';
import {reportError} from './report_error.js';
import {printResult} from './print_result.js';

/** `cardamomfield inventory diff FILE` */
export const inventoryDiff = defineCommand({
  command: 'diff <file>',
  describe: 'Show what publishing a file would change',
  example: [
    'inventory diff inventory.yaml',
    'List added (+), changed (~) and removed (-) items',
  ],
  options: yargs =>
    entryOptions(yargs)
      .positional('file', {type: 'string', demandOption: true})
      .option('keep-others', {type: 'boolean', default: false}),
  execute: async (options, run) => {
    const parsed = await readFileAs(InventoryFile, options.file, run);
    if (parsed.isLeft()) {
      return reportError(run, parsed.swap().unsafeCoerce(), options.json);
    }
    const current = await getConfiguration(createClient(options, run));
    const result = current.map(({version, state}) => {
      const change = inventoryChange(parsed.unsafeCoerce(), state, options);
      return {version, change, lines: formatDelta(change, state)};
    });
    return printResult(run, options.json, result, ({version, lines}) => [
      `against version ${version}`,
      ...lines,
    ]);
  },
});
