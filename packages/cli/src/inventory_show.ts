import type {VersionedConfiguration} from '@cardamomfield/configuration';
import {createClient} from './create_client.js';
import {defineCommand} from './define_command.js';
import {entryOptions} from './entry_options.js';
import {formatTable} from './format_table.js';
import {getConfiguration} from './get_configuration.js';
import {printResult} from './print_result.js';

/** `cardamomfield inventory show` */
export const inventoryShow = defineCommand({
  command: 'show',
  describe: 'Show version, workers and racks in force',
  example: ['inventory show --json', 'Print the whole configuration'],
  options: entryOptions,
  execute: async (options, run) => {
    const result = await getConfiguration(createClient(options, run));
    return printResult(run, options.json, result, formatInventory);
  },
});

function formatInventory({version, state}: VersionedConfiguration): string[] {
  const rows = Object.values(state.workers).map(worker => {
    const rack = state.racks[worker.rack];
    const services = worker.services.join(', ');
    const {name, address} = worker;
    const region = rack?.region ?? '-';
    return [name, worker.rack, region, address, worker.state, services];
  });
  const heading = ['worker', 'rack', 'region', 'address', 'state', 'services'];
  return [`version ${version}`, ...formatTable(heading, rows)];
}
