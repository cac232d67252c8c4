import {createClient} from './create_client.js';
import {defineCommand} from './define_command.js';
import {ExitCode} from './exit_code.js';
import {reportError} from './report_error.js';
import {requestOptions} from './request_options.js';
import {requestPath} from './request_path.js';
import {RequestView} from './request_view.js';
import {printRequestView} from './print_request_view.js';

/** `cardamomfield request watch KEY` */
export const requestWatch = defineCommand({
  command: 'watch <key>',
  describe: 'Follow a request until its final answer',
  example: ['request watch order-17 --json', 'Print one JSON line a change'],
  options: requestOptions,
  execute: async (options, run) => {
    const path = `${requestPath(options.key)}/events`;
    let code: ExitCode = ExitCode.unavailable;
    for await (const line of createClient(options, run).streamLines(path)) {
      if (line.isLeft()) {
        if (run.context.signal.aborted) break;
        return reportError(run, line.swap().unsafeCoerce(), options.json);
      }
      const view = RequestView.parse(line.unsafeCoerce());
      code = printRequestView(run, view, options.json);
    }
    return code;
  },
});
