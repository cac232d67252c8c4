import {
  InventoryFile,
  RulesFile,
  applyDelta,
  emptyConfiguration,
  inventoryChange,
  rulesChange,
} from '@cardamomfield/configuration';
import {defineCommand} from './define_command.js';
import {readFileAs} from './read_file_as.js';
import {reportCheck} from './report_check.js';
import {reportError} from './report_error.js';

const REPLACE_ALL = {keepOthers: false};

/** `cardamomfield rules check FILE --inventory FILE` */
export const rulesCheck = defineCommand({
  command: 'check <file>',
  describe: 'Check a rules file against an inventory file',
  example: [
    'rules check rules.yaml --inventory inventory.yaml',
    'Check that the services and teams of all rules exist',
  ],
  options: yargs =>
    yargs
      .positional('file', {type: 'string', demandOption: true})
      .option('inventory', {
        type: 'string',
        demandOption: true,
        requiresArg: true,
        describe: 'Inventory with the services and teams that rules name',
      })
      .option('json', {type: 'boolean', default: false}),
  execute: async ({file, inventory, json}, run) => {
    const rules = await readFileAs(RulesFile, file, run);
    const items = await readFileAs(InventoryFile, inventory, run);
    const state = items.map(value => {
      const empty = emptyConfiguration();
      return applyDelta(empty, inventoryChange(value, empty, REPLACE_ALL));
    });
    return state
      .chain(inForce => rules.map(value => ({inForce, value})))
      .caseOf({
        Left: error => reportError(run, error, json),
        Right: ({inForce, value}) => {
          const delta = rulesChange(value, inForce, REPLACE_ALL);
          return reportCheck(run, {file, inForce, delta, json});
        },
      });
  },
});
