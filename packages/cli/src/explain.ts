import {InvalidInputError} from '@cardamomfield/errors';
import {z} from 'zod';
import {createClient} from './create_client.js';
import {defineCommand} from './define_command.js';
import {entryOptions} from './entry_options.js';
import {formatExplanation} from './format_explanation.js';
import {PlacementView} from './placement_view.js';
import {printResult} from './print_result.js';
import {readFileAs} from './read_file_as.js';
import {reportError} from './report_error.js';

const SUBMISSION_ID = /^[0-9a-f]{16}$/i;

/** `cardamomfield explain [ID]` */
export const explain = defineCommand({
  command: 'explain [id]',
  describe:
    'Show where a submission, or a request that is not sent, would be placed now and why',
  example: [
    'explain 00000000000000aa --entry http://10.0.0.1:9464',
    'Ask the metrics port of any host about a submission',
  ],
  options: yargs =>
    entryOptions(yargs)
      .positional('id', {type: 'string', describe: 'ID of the submission'})
      .option('file', {
        type: 'string',
        requiresArg: true,
        describe: 'File with the body of a request, which is not sent',
      })
      .option('queue', {
        type: 'string',
        requiresArg: true,
        describe: 'Queue of the request',
      })
      .option('team', {
        type: 'string',
        requiresArg: true,
        default: '',
        describe: 'Team of the request',
      }),
  execute: async (options, run) => {
    const {id, file, queue, team, json} = options;
    if ((id === undefined) === (file === undefined)) {
      throw InvalidInputError.create('give either an ID or --file');
    }
    const client = createClient(options, run);
    if (id !== undefined) {
      if (!SUBMISSION_ID.test(id)) {
        throw InvalidInputError.create('an ID is 16 hexadecimal digits');
      }
      const shown = await client.get(`/explain/${id}`, PlacementView);
      return printResult(run, json, shown, formatExplanation);
    }
    if (queue === undefined) {
      throw InvalidInputError.create('give the --queue of the request');
    }
    const body = await readFileAs(z.unknown(), file ?? '', run);
    if (body.isLeft()) {
      return reportError(run, body.swap().unsafeCoerce(), json);
    }
    const parameters = new URLSearchParams({queue, team});
    const shown = await client.call({
      method: 'POST',
      path: `/explain?${parameters.toString()}`,
      schema: PlacementView,
      body: body.unsafeCoerce(),
      isRepeatable: true,
    });
    return printResult(run, json, shown, formatExplanation);
  },
});
