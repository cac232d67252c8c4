import {
  InventoryFile,
  emptyConfiguration,
  inventoryChange,
} from '@cardamomfield/configuration';
import {defineCommand} from './define_command.js';
import {readFileAs} from './read_file_as.js';
import {reportCheck} from './report_check.js';
import {reportError} from './report_error.js';

/** `cardamomfield inventory check FILE` */
export const inventoryCheck = defineCommand({
  command: 'check <file>',
  describe: 'Check an inventory file without any entry host',
  example: ['inventory check inventory.yaml', 'Check a file before a review'],
  options: yargs =>
    yargs
      .positional('file', {type: 'string', demandOption: true})
      .option('json', {type: 'boolean', default: false}),
  execute: async ({file, json}, run) => {
    const parsed = await readFileAs(InventoryFile, file, run);
    if (parsed.isLeft()) {
      return reportError(run, parsed.swap().unsafeCoerce(), json);
    }
    const inForce = emptyConfiguration();
    const inventory = parsed.unsafeCoerce();
    const delta = inventoryChange(inventory, inForce, {keepOthers: false});
    return reportCheck(run, {file, inForce, delta, json});
  },
});
