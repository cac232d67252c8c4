import {createClient} from './create_client.js';
import {defineCommand} from './define_command.js';
import {ExitCode} from './exit_code.js';
import {formatValue} from './format_value.js';
import {reportError} from './report_error.js';
import {requestOptions} from './request_options.js';
import {requestPath} from './request_path.js';
import {RequestView} from './request_view.js';

/** `cardamomfield request cancel KEY` */
export const requestCancel = defineCommand({
  command: 'cancel <key>',
  describe: 'Cancel a request; cancelling again is harmless',
  example: ['request cancel order-17', 'Cancel queued or running work'],
  options: requestOptions,
  execute: async (options, run) => {
    const answer = await createClient(options, run).call({
      method: 'DELETE',
      path: requestPath(options.key),
      schema: RequestView,
      isRepeatable: true,
    });
    return answer.caseOf<ExitCode>({
      Left: error => reportError(run, error, options.json),
      Right: view => {
        const lines = options.json ? [JSON.stringify(view)] : formatValue(view);
        for (const line of lines) run.context.writeLine(line);
        return ExitCode.ok;
      },
    });
  },
});
