import {z} from 'zod';
import {createClient} from './create_client.js';
import {defineCommand} from './define_command.js';
import {entryOptions} from './entry_options.js';
import {formatValue} from './format_value.js';
import {printResult} from './print_result.js';

/** `cardamomfield voters show` */
export const votersShow = defineCommand({
  command: 'show',
  describe: 'Show the voters and their version',
  example: ['voters show', 'Show over which hosts a majority is counted'],
  options: entryOptions,
  execute: async (options, run) => {
    const client = createClient(options, run);
    const result = await client.get('/v1/voters', z.json());
    return printResult(run, options.json, result, value => formatValue(value));
  },
});
