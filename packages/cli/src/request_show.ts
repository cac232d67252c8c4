import {createClient} from './create_client.js';
import {defineCommand} from './define_command.js';
import {reportError} from './report_error.js';
import {requestOptions} from './request_options.js';
import {requestPath} from './request_path.js';
import {RequestView} from './request_view.js';
import {printRequestView} from './print_request_view.js';

/** `cardamomfield request show KEY` */
export const requestShow = defineCommand({
  command: 'show <key>',
  describe: 'Show the state or the answer of a request',
  example: ['request show order-17', 'Look a request up on any entry host'],
  options: requestOptions,
  execute: async (options, run) => {
    const client = createClient(options, run);
    const answer = await client.get(requestPath(options.key), RequestView);
    return answer.caseOf({
      Left: error => reportError(run, error, options.json),
      Right: view => printRequestView(run, view, options.json),
    });
  },
});
