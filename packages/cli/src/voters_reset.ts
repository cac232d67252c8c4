import {InvalidInputError} from '@cardamomfield/errors';
import {Name} from '@cardamomfield/types';
import {z} from 'zod';
import {createClient} from './create_client.js';
import {defineCommand} from './define_command.js';
import {entryOptions} from './entry_options.js';
import {formatValue} from './format_value.js';
import {printResult} from './print_result.js';

/** `cardamomfield voters reset NAMES...` */
export const votersReset = defineCommand({
  command: 'reset <names..>',
  describe: 'Replace the voters after a majority is gone for good',
  example: [
    'voters reset entry-1 entry-2 entry-3 --majority-is-lost',
    'Continue with three hosts',
  ],
  options: yargs =>
    entryOptions(yargs)
      .positional('names', {type: 'string', array: true, demandOption: true})
      .option('majority-is-lost', {
        type: 'boolean',
        default: false,
        describe: 'Confirms that the other voters will never come back',
      }),
  execute: async (options, run) => {
    const wrong = options.names.find(name => !Name.safeParse(name).success);
    if (wrong !== undefined) {
      throw InvalidInputError.create(`"${wrong}" is not a process name`);
    }
    if (!options.majorityIsLost) {
      // The old and the new set of voters act independently, so both could
      // place work while old voters still run.
      const message =
        'give --majority-is-lost once the other voters are stopped for good';
      throw InvalidInputError.create(message);
    }
    const result = await createClient(options, run).call({
      method: 'PUT',
      path: '/v1/voters',
      schema: z.json(),
      body: {voters: options.names},
      isRepeatable: false,
    });
    return printResult(run, options.json, result, value => formatValue(value));
  },
});
