import type {VersionedConfiguration} from '@cardamomfield/configuration';
import {createClient} from './create_client.js';
import {defineCommand} from './define_command.js';
import {entryOptions} from './entry_options.js';
import {formatTable} from './format_table.js';
import {getConfiguration} from './get_configuration.js';
import {printResult} from './print_result.js';

const COLUMNS = [
  'name',
  'service',
  'team',
  'kind',
  'policy',
  'overuse',
  'queueLimit',
] as const;

/** `cardamomfield rules show` */
export const rulesShow = defineCommand({
  command: 'show',
  describe: 'Show version and rules in force',
  example: ['rules show', 'List all rules'],
  options: entryOptions,
  execute: async (options, run) => {
    const current = await getConfiguration(createClient(options, run));
    const result = current.map(({version, state}) => ({
      version,
      rules: state.rules,
    }));
    return printResult(run, options.json, result, formatRules);
  },
});

function formatRules({
  version,
  rules,
}: {
  version: number;
  rules: VersionedConfiguration['state']['rules'];
}): string[] {
  const rows = Object.values(rules).map(rule =>
    COLUMNS.map(column => String(rule[column] ?? '-')),
  );
  return [`version ${version}`, ...formatTable(COLUMNS, rows)];
}
