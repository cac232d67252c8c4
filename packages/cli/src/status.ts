import {createClient} from './create_client.js';
import {defineCommand} from './define_command.js';
import {entryOptions} from './entry_options.js';
import {ExitCode} from './exit_code.js';
import {formatValue} from './format_value.js';
import {HostStatus} from './host_status.js';

/** `cardamomfield status` */
export const status = defineCommand({
  command: 'status',
  describe:
    'Show owners, epochs, configuration version, queues and ejected workers of every given entry host',
  example: [
    'status --entry http://127.0.0.1:8080 --entry http://127.0.0.1:8090',
    'Compare two entry hosts',
  ],
  options: entryOptions,
  execute: async (options, run) => {
    const client = createClient(options, run);
    const answers = await client.getFromAllHosts('/v1/status', HostStatus);
    const hosts = answers.map(({url, answer}) =>
      answer.caseOf<Record<string, unknown>>({
        Left: error => ({url, error: error.toJSON()}),
        Right: value => ({url, ...value}),
      }),
    );
    const lines = options.json
      ? [JSON.stringify(hosts)]
      : hosts.flatMap(host => [...formatValue(host), '']);
    for (const line of lines) run.context.writeLine(line);
    const isComplete = answers.every(({answer}) => answer.isRight());
    return isComplete ? ExitCode.ok : ExitCode.unavailable;
  },
});
